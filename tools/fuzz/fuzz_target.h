// What the fuzz targets share. A target gives bytes to one decoder: it must return, within its
// stated bounds, a value or a numbered error, and what it returns must be encoded and decoded
// again.

#pragma once

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace fuzz {

inline std::string_view textOf(const std::uint8_t *data, std::size_t size)
{
    return std::string_view(reinterpret_cast<const char *>(data), size);
}

// Ends the program, which the fuzzer reports with the input.
inline void require(bool holds)
{
    if (!holds)
        std::abort();
}

} // namespace fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);
