// A stream for the MessagePack packer that writes to a given buffer without allocation. A write
// that does not fit is omitted.

#pragma once

#include <cstddef>
#include <cstring>
#include <span>

namespace lycheeshunt::flows::internal {

class span_writer
{
public:
    explicit span_writer(std::span<char> out) : m_out(out) { }

    void write(const char *bytes, std::size_t count)
    {
        if (count > m_out.size() - m_used)
            return;
        std::memcpy(m_out.data() + m_used, bytes, count);
        m_used += count;
    }
    std::size_t used() const { return m_used; }

private:
    const std::span<char> m_out;
    std::size_t m_used = 0;
};

} // namespace lycheeshunt::flows::internal
