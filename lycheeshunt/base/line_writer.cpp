#include "lycheeshunt/base/line_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace lycheeshunt::base {

namespace {

// How often a reader that takes nothing is tried again.
constexpr int retryMillis = 20;

// Else a write could hold up the end of the process.
int nonBlocking(int descriptor)
{
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    return descriptor;
}

} // namespace

line_writer::line_writer(int descriptor, std::size_t capacity)
    : m_descriptor(nonBlocking(descriptor)), m_lines(capacity), m_thread([this]() { run(); })
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
        const bool isEnding = m_lines.isClosed();
        const ssize_t written = ::write(m_descriptor, bytes.data(), bytes.size());
        if (written > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(written));
            continue;
        }
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (isEnding)
            return false;
        // A pipe may be called writable while it has no room for a whole line, so time is waited
        // for and not the descriptor.
        ::poll(nullptr, 0, retryMillis);
    }
    return true;
}

} // namespace lycheeshunt::base
