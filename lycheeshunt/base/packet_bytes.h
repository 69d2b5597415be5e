// The bytes of one IP packet. Immutable; copies share one buffer.

#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeshunt::base {

class packet_bytes
{
public:
    packet_bytes() : m_bytes(std::make_shared<const std::string>()) { }
    explicit packet_bytes(std::string bytes)
        : m_bytes(std::make_shared<const std::string>(std::move(bytes)))
    {
    }

    std::string_view view() const { return *m_bytes; }

    bool operator==(const packet_bytes &other) const { return *m_bytes == *other.m_bytes; }

private:
    std::shared_ptr<const std::string> m_bytes;
};

} // namespace lycheeshunt::base
