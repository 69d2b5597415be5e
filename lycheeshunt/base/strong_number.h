// A number type that does not convert to or from number types of other meanings.
//
//     using bucket = strong_number<struct bucket_tag, std::uint16_t>;

#pragma once

#include <compare>
#include <cstddef>
#include <functional>

namespace lycheeshunt::base {

template <typename tag, typename representation>
class strong_number
{
public:
    using value_type = representation;

    constexpr strong_number() = default;
    constexpr explicit strong_number(representation value) : m_value(value) { }

    constexpr representation value() const { return m_value; }

    constexpr bool operator==(const strong_number &) const = default;
    constexpr std::strong_ordering operator<=>(const strong_number &) const = default;

private:
    representation m_value = 0;
};

} // namespace lycheeshunt::base

template <typename tag, typename representation>
struct std::hash<lycheeshunt::base::strong_number<tag, representation>>
{
    std::size_t
    operator()(const lycheeshunt::base::strong_number<tag, representation> &number) const
    {
        return std::hash<representation>()(number.value());
    }
};
