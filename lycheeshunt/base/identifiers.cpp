#include "lycheeshunt/base/identifiers.h"

#include <xxhash.h>

namespace lycheeshunt::base {

namespace {
// Distinct seeds give a node and a service of the same name different identifiers.
constexpr std::uint64_t nodeSeed = 1;
constexpr std::uint64_t serviceSeed = 2;
} // namespace

node_id nodeIdOf(std::string_view name)
{
    return node_id(XXH3_64bits_withSeed(name.data(), name.size(), nodeSeed));
}

service_id serviceIdOf(std::string_view name)
{
    return service_id(XXH3_64bits_withSeed(name.data(), name.size(), serviceSeed));
}

} // namespace lycheeshunt::base
