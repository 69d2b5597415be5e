// Compresses messages with zlib, at its fastest level.
//
//     const compressed_bytes packed = compress(plain);
//     const result<std::string> plain = expand(packed, maxBytes);

#pragma once

#include "lycheeshunt/base/compressed_bytes.h"
#include "lycheeshunt/base/result.h"

#include <string_view>

namespace lycheeshunt::base {

compressed_bytes compress(std::string_view plain);
// Returns messageTooLarge beyond the limit, and messageMalformed for anything but compressed bytes
// of the stated length.
result<std::string> expand(const compressed_bytes &packed, std::uint32_t maxBytes);

} // namespace lycheeshunt::base
