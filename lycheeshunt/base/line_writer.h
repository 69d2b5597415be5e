// Writes lines to a descriptor on a dedicated thread. Producers never block on a slow reader: a
// line that finds the ring full is dropped and counted.

#pragma once

#include "lycheeshunt/base/ring.h"

#include <string>
#include <thread>

namespace lycheeshunt::base {

class line_writer
{
public:
    line_writer(int descriptor, std::size_t capacity);
    // Writes the queued lines, unless the reader has stopped reading.
    ~line_writer();

    line_writer(const line_writer &) = delete;
    line_writer &operator=(const line_writer &) = delete;

    // Queues the line without blocking. Returns false when the ring is full.
    bool tryWrite(std::string line) { return m_lines.tryPush(std::move(line)); }
    std::uint64_t dropped() const { return m_lines.dropped(); }

private:
    void run();
    bool writeAll(std::string_view bytes);

    const int m_descriptor;
    ring<std::string> m_lines;
    std::thread m_thread;
};

} // namespace lycheeshunt::base
