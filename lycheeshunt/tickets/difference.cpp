#include "lycheeshunt/tickets/difference.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/tickets/ticket.h"

namespace lycheeshunt::tickets {

namespace {

std::string limitsDifference(const service_limits &held, const service_limits &other)
{
    if (held.slots != other.slots)
        return "slots";
    if (held.connections != other.connections)
        return "connections";
    if (held.queueLength != other.queueLength)
        return "queue_length";
    if (held.queueWait != other.queueWait)
        return "queue_wait_ms";
    return held.longWorkAge != other.longWorkAge ? "long_work_age_ms" : "short_only_slots";
}

std::string serviceDifference(const service_definition &held, const service_definition &other)
{
    if (held.name != other.name)
        return "service.name";
    if (held.addresses != other.addresses)
        return "service.addresses";
    if (held.limits != other.limits)
        return "service.limits." + limitsDifference(held.limits, other.limits);
    return "service.buckets";
}

std::string changeDifference(const ticket_change &held, const ticket_change &other)
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
                      held, other);
}

} // namespace

std::string firstDifference(const ticket &held, const ticket &other)
{
    if (held.author != other.author)
        return "author";
    const std::size_t common = std::min(held.changes.size(), other.changes.size());
    for (std::size_t i = 0; i < common; ++i) {
        if (held.changes[i] != other.changes[i])
            return "changes[" + std::to_string(i) + "]."
                + changeDifference(held.changes[i], other.changes[i]);
    }
    return "changes[" + std::to_string(common) + "]";
}

} // namespace lycheeshunt::tickets
