// Integers in bytes whose order does not depend on the machine: least significant first.

#pragma once

#include <cstddef>
#include <type_traits>

namespace lycheeshunt::base {

template <typename T>
inline void putLittleEndian(char *out, T number)
{
    static_assert(std::is_unsigned_v<T>);
    for (std::size_t i = 0; i < sizeof number; ++i)
        out[i] = static_cast<char>(static_cast<unsigned char>(number >> (8 * i)));
}

template <typename T>
inline T littleEndianAt(const char *bytes)
{
    static_assert(std::is_unsigned_v<T>);
    T number = 0;
    for (std::size_t i = 0; i < sizeof number; ++i)
        number = static_cast<T>(number | (T(static_cast<unsigned char>(bytes[i])) << (8 * i)));
    return number;
}

} // namespace lycheeshunt::base
