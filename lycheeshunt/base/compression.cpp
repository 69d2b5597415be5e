#include "lycheeshunt/base/compression.h"

#include <zlib.h>

namespace lycheeshunt::base {

compressed_bytes compress(std::string_view plain)
{
    uLongf length = compressBound(plain.size());
    std::string bytes(length, '\0');
    compress2(reinterpret_cast<Bytef *>(bytes.data()), &length,
              reinterpret_cast<const Bytef *>(plain.data()), plain.size(), Z_BEST_SPEED);
    bytes.resize(length);
    return compressed_bytes {static_cast<std::uint32_t>(plain.size()), std::move(bytes)};
}

result<std::string> expand(const compressed_bytes &packed, std::uint32_t maxBytes)
{
    if (packed.length > maxBytes)
        return error {error_code::messageTooLarge,
                      std::to_string(packed.length) + " bytes before compression"};
    std::string plain(packed.length, '\0');
    uLongf written = packed.length;
    const int outcome
        = uncompress(reinterpret_cast<Bytef *>(plain.data()), &written,
                     reinterpret_cast<const Bytef *>(packed.bytes.data()), packed.bytes.size());
    if (outcome != Z_OK || written != packed.length)
        return error {error_code::messageMalformed, "compressed bytes"};
    return plain;
}

} // namespace lycheeshunt::base
