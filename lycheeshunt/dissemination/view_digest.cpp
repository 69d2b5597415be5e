#include "lycheeshunt/dissemination/view_digest.h"

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/view_change.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/tickets/codec.h"

#include <xxhash.h>

namespace lycheeshunt::dissemination {

namespace {

// Distinct seeds, so that objects of different kinds with equal bytes have different hashes.
enum part_seed : std::uint64_t {
    serviceSeed = 11,
    memberSeed = 12,
    drainingSeed = 13,
    routeSeed = 14,
    evacuatedSeed = 15,
};

std::uint64_t hashOf(std::string_view bytes, part_seed seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace

std::uint64_t digestPart(const tickets::service_definition &service)
{
    return hashOf(tickets::encodeService(service), serviceSeed);
}

std::uint64_t digestPart(const membership::member &member)
{
    return hashOf(membership::encodeMember(member), memberSeed);
}

std::uint64_t digestPart(std::string_view drainingName)
{
    return hashOf(drainingName, drainingSeed);
}

std::uint64_t digestPart(const tickets::address_route &route)
{
    return hashOf(tickets::encodeRoute(route), routeSeed);
}

std::uint64_t digestPartOfZone(std::string_view evacuatedZone)
{
    return hashOf(evacuatedZone, evacuatedSeed);
}

view_digest digestOf(const cluster_view &view)
{
    std::uint64_t sum = 0;
    for (auto it = view.services.begin(); it != view.services.end(); ++it)
        sum += digestPart(it->second);
    for (auto it = view.members.begin(); it != view.members.end(); ++it)
        sum += digestPart(it->second);
    for (const std::string &name : view.draining)
        sum += digestPart(name);
    for (auto it = view.routes.begin(); it != view.routes.end(); ++it)
        sum += digestPart(it->second);
    for (const std::string &zone : view.evacuated)
        sum += digestPartOfZone(zone);
    return view_digest(sum);
}

view_digest digestAfter(view_digest current, const cluster_view &view, const view_change &change)
{
    std::uint64_t sum = current.value();
    for (auto it = change.services.begin(); it != change.services.end(); ++it) {
        const auto old = view.services.find(it->first);
        sum -= old == view.services.end() ? 0 : digestPart(old->second);
        sum += it->second ? digestPart(*it->second) : 0;
    }
    for (auto it = change.members.begin(); it != change.members.end(); ++it) {
        const auto old = view.members.find(it->first);
        sum -= old == view.members.end() ? 0 : digestPart(old->second);
        sum += it->second.member ? digestPart(*it->second.member) : 0;
    }
    for (auto it = change.draining.begin(); it != change.draining.end(); ++it) {
        const bool was = view.draining.count(it->first) > 0;
        if (was != it->second)
            sum += it->second ? digestPart(it->first) : 0 - digestPart(it->first);
    }
    for (auto it = change.routes.begin(); it != change.routes.end(); ++it) {
        const auto old = view.routes.find(it->first);
        sum -= old == view.routes.end() ? 0 : digestPart(old->second);
        sum += it->second ? digestPart(*it->second) : 0;
    }
    for (auto it = change.evacuations.begin(); it != change.evacuations.end(); ++it) {
        const bool was = view.evacuated.count(it->first) > 0;
        const std::uint64_t part = digestPartOfZone(it->first);
        if (was != it->second)
            sum += it->second ? part : 0 - part;
    }
    return view_digest(sum);
}

} // namespace lycheeshunt::dissemination
