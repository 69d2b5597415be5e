#include "lycheeshunt/base/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace lycheeshunt::base {

namespace {

// A reader that takes nothing for this long while the process ends is given up.
constexpr int lastWaitMillis = 200;

} // namespace

line_writer::line_writer(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor), m_lines(capacity), m_thread([this]() { run(); })
{
}

line_writer::~line_writer()
{
    m_lines.close();
    m_thread.join();
}

void line_writer::run()
{
    std::uint64_t told = 0;
    while (std::optional<std::string> line = m_lines.pop()) {
        const std::uint64_t lost = m_lines.dropped();
        if (lost != told && !m_lines.isClosed())
            line->append("part=log event=dropped lines=" + std::to_string(lost - told) + "\n");
        told = lost;
        if (!writeWhole(*line))
            return;
    }
}

bool line_writer::writeWhole(std::string_view bytes)
{
    while (!bytes.empty()) {
        pollfd watched {m_descriptor, POLLOUT, 0};
        const bool isEnding = m_lines.isClosed();
        const int ready = ::poll(&watched, 1, lastWaitMillis);
        if (ready == 0 && isEnding)
            return false;
        if (ready <= 0)
            continue;
        // Small enough that a pipe which is writable takes it without waiting.
        constexpr std::size_t pipeAtom = 4096;
        const ssize_t written
            = ::write(m_descriptor, bytes.data(), std::min(bytes.size(), pipeAtom));
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (written > 0)
            bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace lycheeshunt::base
