#include "lycheeshunt/tickets/validation.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/tickets/bounds.h"
#include "lycheeshunt/tickets/ticket_state.h"

#include <algorithm>
#include <set>

namespace lycheeshunt::tickets {

namespace {

using services_by_name = std::map<std::string, service_definition>;
using fault_list = std::vector<base::error>;

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxAuthorLength = 128;
constexpr std::size_t maxChanges = 64;
constexpr std::size_t maxAddresses = 256;
constexpr std::uint32_t maxSlots = 10'000;
constexpr std::uint32_t maxConnections = 1'000'000;
constexpr std::uint32_t maxQueueLength = 100'000;
constexpr base::clock_time maxQueueWait = base::clock_time::ofSeconds(60);
constexpr base::clock_time maxLongWorkAge = base::clock_time::ofSeconds(3600);
constexpr std::uint8_t tcp = 6;
constexpr std::uint8_t udp = 17;

void badField(fault_list &faults, const std::string &what)
{
    faults.push_back({base::error_code::ticketBadField, what});
}

void duplicate(fault_list &faults, const std::string &what)
{
    faults.push_back({base::error_code::ticketDuplicate, what});
}

void checkName(const std::string &name, const std::string &what, fault_list &faults)
{
    const bool isPrintable = std::all_of(name.begin(), name.end(),
                                         [](char letter) { return letter > ' ' && letter <= '~'; });
    if (name.empty())
        badField(faults, what + " without a name");
    else if (name.size() > maxNameLength)
        badField(faults, what + ": name longer than " + std::to_string(maxNameLength));
    else if (!isPrintable)
        badField(faults, what + ": name with a space or an unprintable character");
}

void checkRange(const std::string &what, std::int64_t value, std::int64_t least, std::int64_t most,
                fault_list &faults)
{
    if (value < least || value > most)
        badField(faults,
                 what + " must be from " + std::to_string(least) + " to " + std::to_string(most));
}

void checkLimits(const std::string &name, const service_limits &limits, fault_list &faults)
{
    checkRange(name + ": slots", limits.slots, 1, maxSlots, faults);
    checkRange(name + ": connections", limits.connections, 1, maxConnections, faults);
    checkRange(name + ": queue_length", limits.queueLength, 0, maxQueueLength, faults);
    checkRange(name + ": queue_wait_ms", limits.queueWait.millis(), 0, maxQueueWait.millis(),
               faults);
    checkRange(name + ": long_work_age_ms", limits.longWorkAge.millis(), 1, maxLongWorkAge.millis(),
               faults);
    if (limits.slots > 0)
        checkRange(name + ": short_only_slots", limits.shortOnlySlots, 0, limits.slots - 1, faults);
}

void checkAddressesOf(const service_definition &service, fault_list &faults)
{
    if (service.addresses.size() > maxAddresses)
        faults.push_back(
            {base::error_code::ticketTooLarge,
             service.name + ": more than " + std::to_string(maxAddresses) + " addresses"});
    std::set<service_address> seen;
    for (const service_address &address : service.addresses) {
        const std::string text = service.name + ": address " + address.where.text();
        if (!seen.insert(address).second)
            duplicate(faults, text);
        if (address.where.address == 0 || address.where.port == 0
            || (address.protocol != tcp && address.protocol != udp))
            badField(faults, text);
    }
}

void checkService(const service_definition &service, const services_by_name &earlier,
                  fault_list &faults)
{
    checkName(service.name, "service", faults);
    checkLimits(service.name, service.limits, faults);
    checkRange(service.name + ": buckets", service.buckets, 1, maxBuckets, faults);
    checkAddressesOf(service, faults);
    const auto known = earlier.find(service.name);
    if (known != earlier.end() && known->second.buckets != service.buckets)
        faults.push_back({base::error_code::ticketBucketsFixed,
                          service.name + " has " + std::to_string(known->second.buckets)});
}

void checkChange(const ticket_change &change, const services_by_name &earlier, fault_list &faults)
{
    std::visit(
        base::overloaded {
            [&](const service_definition &service) { checkService(service, earlier, faults); },
            [&](const service_removal &removal) {
                if (earlier.count(removal.name) == 0)
                    faults.push_back({base::error_code::ticketServiceUnknown, removal.name});
            },
            // An unknown node may be drained: it may be unreachable at present, and validity
            // must not depend on that.
            [&](const drain_order &order) { checkName(order.node, "node", faults); },
        },
        change);
}

// Addresses shared by several services; one repeated within a service is a duplicate.
void checkClashes(const services_by_name &services, fault_list &faults)
{
    std::map<service_address, std::string> holders;
    for (auto it = services.begin(); it != services.end(); ++it) {
        for (const service_address &address : it->second.addresses) {
            const auto [holder, isNew] = holders.emplace(address, it->first);
            if (!isNew && holder->second != it->first)
                faults.push_back(
                    {base::error_code::ticketAddressClash,
                     address.where.text() + " in " + holder->second + " and " + it->first});
        }
    }
}

void applyChange(services_by_name &services, const ticket_change &change)
{
    std::visit(base::overloaded {
                   [&](const service_definition &service) {
                       services.erase(service.name);
                       services.emplace(service.name, service);
                   },
                   [&](const service_removal &removal) { services.erase(removal.name); },
                   [](const drain_order &) {},
               },
               change);
}

void checkOrder(const ticket &ticket, const ticket_state &state, fault_list &faults)
{
    std::set<std::string> seen;
    for (const ticket_change &change : ticket.changes) {
        const std::string object = objectKeyOf(change);
        if (!seen.insert(object).second)
            duplicate(faults, object);
        const auto last = state.lastChangedBy.find(object);
        if (last != state.lastChangedBy.end() && last->second >= ticket.number)
            faults.push_back(
                {base::error_code::ticketOutOfOrder,
                 object + " was changed by ticket " + std::to_string(last->second.value())});
    }
}

void checkHead(const ticket &ticket, fault_list &faults)
{
    if (ticket.number.value() == 0)
        badField(faults, "number must be 1 or more");
    if (ticket.author.empty() || ticket.author.size() > maxAuthorLength)
        badField(faults,
                 "author must have 1 to " + std::to_string(maxAuthorLength) + " characters");
    if (ticket.changes.empty())
        badField(faults, "ticket changes nothing");
}

} // namespace

std::string objectKeyOf(const ticket_change &change)
{
    return std::visit(
        base::overloaded {
            [](const service_definition &service) { return "service " + service.name; },
            [](const service_removal &removal) { return "service " + removal.name; },
            [](const drain_order &order) { return "node " + order.node; },
        },
        change);
}

std::vector<base::error> faultsOf(const ticket &ticket, const ticket_state &state)
{
    fault_list faults;
    checkHead(ticket, faults);
    if (ticket.changes.size() > maxChanges) {
        faults.push_back({base::error_code::ticketTooLarge,
                          "more than " + std::to_string(maxChanges) + " changes"});
        return faults;
    }
    services_by_name after = state.services;
    for (const ticket_change &change : ticket.changes) {
        checkChange(change, state.services, faults);
        applyChange(after, change);
    }
    checkOrder(ticket, state, faults);
    checkClashes(after, faults);
    return faults;
}

void applyTicket(ticket_state &state, const ticket &ticket)
{
    for (const ticket_change &change : ticket.changes) {
        applyChange(state.services, change);
        state.lastChangedBy[objectKeyOf(change)] = ticket.number;
    }
}

} // namespace lycheeshunt::tickets
