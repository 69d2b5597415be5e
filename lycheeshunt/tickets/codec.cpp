#include "lycheeshunt/tickets/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/tickets/ticket.h"

#include <tuple>

namespace lycheeshunt::tickets {

namespace {

using address_fields = std::tuple<std::uint32_t, std::uint16_t, std::uint8_t>;
using limits_fields = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::int64_t,
                                 std::int64_t, std::uint32_t>;
using service_fields
    = std::tuple<std::string, std::vector<address_fields>, limits_fields, std::uint32_t>;
using drain_fields = std::tuple<std::string, bool>;
using change_fields = std::tuple<std::uint8_t, std::string>;
using ticket_fields = std::tuple<std::uint64_t, std::string, std::vector<change_fields>>;

enum change_kind : std::uint8_t { definitionKind = 1, removalKind = 2, drainKind = 3 };

change_fields encodeChange(const ticket_change &change)
{
    return std::visit(
        base::overloaded {
            [](const service_definition &service) {
                return change_fields(definitionKind, encodeService(service));
            },
            [](const service_removal &removal) { return change_fields(removalKind, removal.name); },
            [](const drain_order &order) {
                return change_fields(drainKind,
                                     base::packFields(drain_fields(order.node, order.draining)));
            },
        },
        change);
}

base::result<ticket_change> decodeDrain(const std::string &bytes)
{
    const base::result<drain_fields> fields = base::unpackFields<drain_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[node, draining] = base::valueOf(fields);
    return ticket_change(drain_order {node, draining});
}

base::result<ticket_change> decodeChange(const change_fields &fields)
{
    const auto &[kind, bytes] = fields;
    if (kind == removalKind)
        return ticket_change(service_removal {bytes});
    if (kind == drainKind)
        return decodeDrain(bytes);
    if (kind != definitionKind)
        return base::error {base::error_code::messageMalformed, "unknown kind of change"};
    const base::result<service_definition> service = decodeService(bytes);
    if (const base::error *failure = base::errorOf(service))
        return *failure;
    return ticket_change(base::valueOf(service));
}

} // namespace

std::string encodeService(const service_definition &service)
{
    std::vector<address_fields> addresses;
    for (const service_address &address : service.addresses)
        addresses.emplace_back(address.where.address, address.where.port, address.protocol);
    const service_limits &limits = service.limits;
    return base::packFields(
        service_fields(service.name, addresses,
                       limits_fields(limits.slots, limits.connections, limits.queueLength,
                                     limits.queueWait.millis(), limits.longWorkAge.millis(),
                                     limits.shortOnlySlots),
                       service.buckets));
}

base::result<service_definition> decodeService(std::string_view bytes)
{
    const base::result<service_fields> fields = base::unpackFields<service_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[name, rawAddresses, rawLimits, buckets] = base::valueOf(fields);
    std::vector<service_address> addresses;
    for (const auto &[address, port, protocol] : rawAddresses)
        addresses.push_back(service_address {base::endpoint {address, port}, protocol});
    const auto &[slots, connections, queueLength, queueWait, longWorkAge, shortOnly] = rawLimits;
    return service_definition {name, std::move(addresses),
                               service_limits {slots, connections, queueLength,
                                               base::clock_time::ofMillis(queueWait),
                                               base::clock_time::ofMillis(longWorkAge), shortOnly},
                               buckets};
}

std::string encodeTicket(const ticket &ticket)
{
    std::vector<change_fields> changes;
    for (const ticket_change &change : ticket.changes)
        changes.push_back(encodeChange(change));
    return base::packFields(ticket_fields(ticket.number.value(), ticket.author, changes));
}

base::result<ticket> decodeTicket(std::string_view bytes)
{
    const base::result<ticket_fields> fields = base::unpackFields<ticket_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[number, author, rawChanges] = base::valueOf(fields);
    std::vector<ticket_change> changes;
    for (const change_fields &raw : rawChanges) {
        const base::result<ticket_change> change = decodeChange(raw);
        if (const base::error *failure = base::errorOf(change))
            return *failure;
        changes.push_back(base::valueOf(change));
    }
    return ticket {base::ticket_number(number), author, std::move(changes)};
}

} // namespace lycheeshunt::tickets
