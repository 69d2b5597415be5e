#include "lycheeshunt/tickets/difference.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/tickets/ticket.h"

namespace lycheeshunt::tickets {

namespace {

std::string limitsDifference(const service_limits &existing, const service_limits &other)
{
    if (existing.slots != other.slots)
        return "slots";
    if (existing.connections != other.connections)
        return "connections";
    if (existing.queueLength != other.queueLength)
        return "queue_length";
    if (existing.queueWait != other.queueWait)
        return "queue_wait_ms";
    return existing.longWorkAge != other.longWorkAge ? "long_work_age_ms" : "short_only_slots";
}

std::string serviceDifference(const service_definition &existing, const service_definition &other)
{
    if (existing.name != other.name)
        return "service.name";
    if (existing.addresses != other.addresses)
        return "service.addresses";
    if (existing.limits != other.limits)
        return "service.limits." + limitsDifference(existing.limits, other.limits);
    return "service.buckets";
}

std::string changeDifference(const ticket_change &existing, const ticket_change &other)
{
    return std::visit(base::overloaded {
                          [](const service_definition &one, const service_definition &two) {
                              return serviceDifference(one, two);
                          },
                          [](const service_removal &, const service_removal &) {
                              return std::string("remove_service");
                          },
                          [](const drain_order &one, const drain_order &two) {
                              return std::string(one.node != two.node ? "drain.node"
                                                                      : "drain.draining");
                          },
                          [](const auto &, const auto &) { return std::string("kind"); },
                      },
                      existing, other);
}

} // namespace

std::string firstDifference(const ticket &existing, const ticket &other)
{
    if (existing.author != other.author)
        return "author";
    const std::size_t common = std::min(existing.changes.size(), other.changes.size());
    for (std::size_t i = 0; i < common; ++i) {
        if (existing.changes[i] != other.changes[i])
            return "changes[" + std::to_string(i) + "]."
                + changeDifference(existing.changes[i], other.changes[i]);
    }
    return "changes[" + std::to_string(common) + "]";
}

} // namespace lycheeshunt::tickets
