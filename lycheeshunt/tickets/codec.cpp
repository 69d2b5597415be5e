#include "lycheeshunt/tickets/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/tickets/address_route.h"
#include "lycheeshunt/tickets/bounds.h"
#include "lycheeshunt/tickets/ticket.h"

#include <optional>
#include <tuple>

namespace lycheeshunt::tickets {

namespace {

using address_fields = std::tuple<std::uint32_t, std::uint16_t, std::uint8_t>;
using limits_fields = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::int64_t,
                                 std::int64_t, std::uint32_t, std::int64_t>;
// Only for a service with a warm-up: its time and, if limited, its rate. Builds without these
// fields ignore them.
using warmup_limits_fields
    = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::int64_t, std::int64_t,
                 std::uint32_t, std::int64_t, std::int64_t, std::optional<double>>;
template <typename limits_type>
using service_fields
    = std::tuple<std::string, std::vector<address_fields>, limits_type, std::uint32_t>;
using share_fields = std::tuple<std::uint64_t, std::uint32_t>;
using route_fields
    = std::tuple<address_fields, std::vector<share_fields>, std::vector<std::uint64_t>,
                 std::uint8_t, std::int64_t, std::int64_t, std::uint32_t>;
// Only for a route with an incomplete list of former services, so that builds without this field
// can read all others.
using incomplete_route_fields
    = std::tuple<address_fields, std::vector<share_fields>, std::vector<std::uint64_t>,
                 std::uint8_t, std::int64_t, std::int64_t, std::uint32_t, bool>;
using drain_fields = std::tuple<std::string, bool>;
using change_fields = std::tuple<std::uint8_t, std::string>;
using ticket_fields = std::tuple<std::uint64_t, std::string, std::vector<change_fields>>;

enum change_kind : std::uint8_t { definitionKind = 1, removalKind = 2, drainKind = 3 };

address_fields fieldsOf(const service_address &address)
{
    return address_fields(address.where.address, address.where.port, address.protocol);
}

service_address addressOf(const address_fields &fields)
{
    const auto &[address, port, protocol] = fields;
    return service_address {base::endpoint {address, port}, protocol};
}

bool isWarmup(std::int64_t millis, const std::optional<double> &rate)
{
    // Also refuses a rate that is not a number.
    const bool isRate = !rate || (*rate >= 0 && *rate <= maxWarmupRate);
    return isRate && millis >= 0 && millis <= maxWarmupTime.millis();
}

bool isPeriod(std::int64_t millis)
{
    return millis >= 0 && millis <= maxPeriod.millis();
}

// A sum of shares is above 0 and far from the end of its type.
bool areShares(const std::vector<share_fields> &shares)
{
    std::uint64_t total = 0;
    for (const auto &[service, weight] : shares) {
        if (weight > maxShareWeight)
            return false;
        total += weight;
    }
    return shares.size() <= maxRouteShares && total > 0;
}

base::error malformed(const char *what)
{
    return base::error {base::error_code::messageMalformed, what};
}

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
        return malformed("unknown kind of change");
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
        addresses.push_back(fieldsOf(address));
    const service_limits &limits = service.limits;
    const limits_fields common(limits.slots, limits.connections, limits.queueLength,
                               limits.queueWait.millis(), limits.longWorkAge.millis(),
                               limits.shortOnlySlots, limits.idleTimeout.millis());
    if (!limits.warmupRate && limits.warmupTime == base::clock_time())
        return base::packFields(
            service_fields<limits_fields>(service.name, addresses, common, service.buckets));
    const std::tuple<std::int64_t, std::optional<double>> warmup(limits.warmupTime.millis(),
                                                                 limits.warmupRate);
    return base::packFields(service_fields<warmup_limits_fields>(
        service.name, addresses, std::tuple_cat(common, warmup), service.buckets));
}

base::result<service_definition> decodeService(std::string_view bytes)
{
    // Limits without a warm-up have fewer fields; those that are missing keep their defaults.
    using fields_type = service_fields<warmup_limits_fields>;
    const base::result<fields_type> fields = base::unpackFields<fields_type>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[name, rawAddresses, rawLimits, buckets] = base::valueOf(fields);
    const auto &[slots, connections, queueLength, queueWait, longWorkAge, shortOnly, idle,
                 warmupTime, warmupRate]
        = rawLimits;
    if (name.empty() || name.size() > maxServiceNameBytes)
        return malformed("name of a service");
    if (buckets == 0 || buckets > maxBuckets)
        return malformed("buckets of a service");
    if (!isPeriod(queueWait) || !isPeriod(longWorkAge) || !isPeriod(idle))
        return malformed("limits of a service");
    if (!isWarmup(warmupTime, warmupRate))
        return malformed("warm-up of a service");
    std::vector<service_address> addresses;
    for (const address_fields &raw : rawAddresses)
        addresses.push_back(addressOf(raw));
    return service_definition {name, std::move(addresses),
                               service_limits {slots, connections, queueLength,
                                               base::clock_time::ofMillis(queueWait),
                                               base::clock_time::ofMillis(longWorkAge), shortOnly,
                                               base::clock_time::ofMillis(idle), warmupRate,
                                               base::clock_time::ofMillis(warmupTime)},
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

namespace {

base::result<incomplete_route_fields> routeFieldsOf(std::string_view bytes)
{
    const base::result<route_fields> complete = base::unpackFields<route_fields>(bytes);
    if (const route_fields *fields = std::get_if<route_fields>(&complete))
        return std::tuple_cat(*fields, std::tuple<bool>(false));
    return base::unpackFields<incomplete_route_fields>(bytes);
}

} // namespace

std::string encodeRoute(const address_route &route)
{
    std::vector<share_fields> shares;
    for (const route_share &share : route.shares)
        shares.emplace_back(share.service.value(), share.weight);
    std::vector<std::uint64_t> former;
    for (const base::service_id &service : route.former)
        former.push_back(service.value());
    const route_fields fields(fieldsOf(route.address), shares, former,
                              static_cast<std::uint8_t>(route.kind), route.timeout.millis(),
                              route.targetLatency.millis(), route.priority);
    if (!route.isFormerIncomplete)
        return base::packFields(fields);
    return base::packFields(std::tuple_cat(fields, std::tuple<bool>(true)));
}

base::result<address_route> decodeRoute(std::string_view bytes)
{
    const base::result<incomplete_route_fields> fields = routeFieldsOf(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[address, rawShares, rawFormer, kind, timeout, target, priority, isIncomplete]
        = base::valueOf(fields);
    if (kind < static_cast<std::uint8_t>(request_kind::idempotent)
        || kind > static_cast<std::uint8_t>(request_kind::upload))
        return malformed("kind of request");
    if (!areShares(rawShares) || rawFormer.size() > maxFormerServices)
        return malformed("services of a route");
    if (!isPeriod(timeout) || !isPeriod(target))
        return malformed("periods of a route");
    std::vector<route_share> shares;
    for (const auto &[service, weight] : rawShares)
        shares.push_back(route_share {base::service_id(service), weight});
    std::vector<base::service_id> former;
    for (const std::uint64_t service : rawFormer)
        former.emplace_back(service);
    return address_route {addressOf(address),
                          std::move(shares),
                          std::move(former),
                          static_cast<request_kind>(kind),
                          base::clock_time::ofMillis(timeout),
                          base::clock_time::ofMillis(target),
                          priority,
                          isIncomplete};
}

std::string encodeAddress(const service_address &address)
{
    return base::packFields(fieldsOf(address));
}

base::result<service_address> decodeAddress(std::string_view bytes)
{
    const base::result<address_fields> fields = base::unpackFields<address_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    return addressOf(base::valueOf(fields));
}

} // namespace lycheeshunt::tickets
