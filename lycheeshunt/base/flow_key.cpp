#include "lycheeshunt/base/flow_key.h"

#include "lycheeshunt/base/byte_order.h"

#include <xxhash.h>

namespace lycheeshunt::base {

namespace {
constexpr std::uint64_t flowSeed = 3;
constexpr std::size_t keyBytes = 13;
} // namespace

std::uint64_t hashOf(const flow_key &key)
{
    char bytes[keyBytes];
    putLittleEndian(bytes, key.caller.address);
    putLittleEndian(bytes + 4, key.service.address);
    putLittleEndian(bytes + 8, key.caller.port);
    putLittleEndian(bytes + 10, key.service.port);
    putLittleEndian(bytes + 12, key.protocol);
    return XXH3_64bits_withSeed(bytes, sizeof bytes, flowSeed);
}

} // namespace lycheeshunt::base
