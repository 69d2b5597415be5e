#include "lycheeshunt/base/line_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace lycheeshunt::base {

namespace {

// Interval between write attempts while the reader does not read.
constexpr int retryIntervalMillis = 20;

// A blocking write could delay the exit of the process indefinitely.
int makeNonBlocking(int descriptor)
{
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    return descriptor;
}

} // namespace

line_writer::line_writer(int descriptor, std::size_t capacity)
    : m_descriptor(makeNonBlocking(descriptor)), m_lines(capacity), m_thread([this]() { run(); })
{
}

line_writer::~line_writer()
{
    m_lines.close();
    m_thread.join();
}

void line_writer::run()
{
    std::uint64_t reported = 0;
    while (std::optional<std::string> line = m_lines.pop()) {
        const std::uint64_t droppedLines = m_lines.dropped();
        if (droppedLines != reported && !m_lines.isClosed())
            line->append("part=log event=dropped lines=" + std::to_string(droppedLines - reported)
                         + "\n");
        reported = droppedLines;
        if (!writeAll(*line))
            return;
    }
}

bool line_writer::writeAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const bool isClosing = m_lines.isClosed();
        const ssize_t written = ::write(m_descriptor, bytes.data(), bytes.size());
        if (written > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(written));
            continue;
        }
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (isClosing)
            return false;
        // poll() may report a pipe as writable while it has no room for a complete line, so the
        // retry waits for a fixed interval instead of for the descriptor.
        ::poll(nullptr, 0, retryIntervalMillis);
    }
    return true;
}

} // namespace lycheeshunt::base
