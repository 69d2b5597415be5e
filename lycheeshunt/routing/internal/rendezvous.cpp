#include "lycheeshunt/routing/internal/rendezvous.h"

#include "lycheeshunt/base/byte_order.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>

namespace lycheeshunt::routing::internal {

namespace {

// Logarithms are in units of 2^-40.
constexpr int fractionBits = 40;
constexpr int indexBits = 8;
constexpr int remainderBits = 24;
constexpr int hashBits = 64;
constexpr std::size_t tableSize = (std::size_t(1) << indexBits) + 1;
constexpr std::uint64_t weightScale = 1 << 16;

// log2(1 + index / 2^indexBits), one bit of the result for each squaring.
constexpr std::uint64_t tableEntry(std::size_t index)
{
    constexpr int unitBits = 31;
    constexpr int resultBits = 30;
    if (index == tableSize - 1)
        return std::uint64_t(1) << fractionBits;
    std::uint64_t value = (std::uint64_t(1) << unitBits) + (index << (unitBits - indexBits));
    std::uint64_t result = 0;
    for (int i = 0; i < resultBits; ++i) {
        value = (value * value) >> unitBits;
        result <<= 1;
        if (value >> (unitBits + 1) != 0) {
            value >>= 1;
            result |= 1;
        }
    }
    return result << (fractionBits - resultBits);
}

constexpr std::array<std::uint64_t, tableSize> makeTable()
{
    std::array<std::uint64_t, tableSize> table {};
    for (std::size_t i = 0; i < tableSize; ++i)
        table[i] = tableEntry(i);
    return table;
}

constexpr std::array<std::uint64_t, tableSize> logTable = makeTable();

// -log2(hash / 2^64), interpolated between table entries. Precondition: hash > 0.
std::uint64_t negativeLog(std::uint64_t hash)
{
    const int leading = std::countl_zero(hash);
    const std::uint64_t mantissa = leading == hashBits - 1 ? 0 : hash << (leading + 1);
    const std::size_t index = mantissa >> (hashBits - indexBits);
    const std::uint64_t remainder = (mantissa << indexBits) >> (hashBits - remainderBits);
    const std::uint64_t slope = logTable[index + 1] - logTable[index];
    const std::uint64_t fraction = logTable[index] + ((slope * remainder) >> remainderBits);
    return (std::uint64_t(leading + 1) << fractionBits) - fraction;
}

} // namespace

std::uint64_t rendezvousCost(base::bucket bucket, base::node_id node, std::uint32_t weight)
{
    char name[sizeof(std::uint64_t)];
    base::putLittleEndian(name, node.value());
    const std::uint64_t hash = XXH3_64bits_withSeed(name, sizeof name, bucket.value());
    const std::uint64_t perWeight = std::max<std::uint64_t>(weightScale / weight, 1);
    return negativeLog(std::max<std::uint64_t>(hash, 1)) * perWeight;
}

} // namespace lycheeshunt::routing::internal
