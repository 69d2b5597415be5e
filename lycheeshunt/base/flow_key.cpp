#include "lycheeshunt/base/flow_key.h"

#include <xxhash.h>

#include <cstring>

namespace lycheeshunt::base {

namespace {
constexpr std::uint64_t flowSeed = 3;
constexpr std::size_t keyBytes = 13;
} // namespace

std::uint64_t hashOf(const flow_key &key)
{
    unsigned char bytes[keyBytes];
    std::memcpy(bytes, &key.caller.address, 4);
    std::memcpy(bytes + 4, &key.service.address, 4);
    std::memcpy(bytes + 8, &key.caller.port, 2);
    std::memcpy(bytes + 10, &key.service.port, 2);
    bytes[12] = key.protocol;
    return XXH3_64bits_withSeed(bytes, sizeof bytes, flowSeed);
}

} // namespace lycheeshunt::base
