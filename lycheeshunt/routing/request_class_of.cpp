#include "lycheeshunt/routing/request_class_of.h"

#include "lycheeshunt/routing/routing_table.h"

#include <algorithm>

namespace lycheeshunt::routing {

namespace {
// The header has one byte for the priority. Priorities beyond it are served as the last one.
constexpr std::uint32_t maxPriority = 255;
} // namespace

flows::request_class requestClassOf(const routing_table &table, const base::flow_key &key)
{
    const std::optional<request_traits> traits = table.traitsOf(key);
    if (!traits)
        return {};
    const flows::request_class stated {
        traits->kind, static_cast<std::uint8_t>(std::min(traits->priority, maxPriority))};
    return stated.isUpload() || stated.priority != 0 ? stated : flows::request_class {};
}

} // namespace lycheeshunt::routing
