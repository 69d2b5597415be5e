// Owns one open file descriptor and closes it on destruction.

#pragma once

#include <unistd.h>

#include <utility>

namespace lycheeshunt::base {

class file_descriptor
{
public:
    file_descriptor() = default;
    explicit file_descriptor(int descriptor) : m_descriptor(descriptor) { }
    ~file_descriptor() { reset(); }

    file_descriptor(file_descriptor &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    file_descriptor &operator=(file_descriptor &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_descriptor = std::exchange(other.m_descriptor, -1);
        }
        return *this;
    }
    file_descriptor(const file_descriptor &) = delete;
    file_descriptor &operator=(const file_descriptor &) = delete;

    int get() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }

private:
    void reset()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

    int m_descriptor = -1;
};

} // namespace lycheeshunt::base
