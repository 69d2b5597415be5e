#include "lycheeshunt/routing/routing_table.h"

#include "lycheeshunt/base/planted_fault.h"
#include "lycheeshunt/routing/internal/directors.h"

namespace lycheeshunt::routing {

namespace {

std::uint64_t addressKey(const base::endpoint &where, std::uint8_t protocol)
{
    constexpr int portBits = 16;
    constexpr int protocolBits = 8;
    return (std::uint64_t(where.address) << (portBits + protocolBits))
        | (std::uint64_t(where.port) << protocolBits) | protocol;
}

// Uses other bits of the hash than those that choose the bucket.
std::uint64_t positionOf(const base::flow_key &key, std::uint64_t totalWeight)
{
    constexpr int bucketBits = 32;
    return (base::hashOf(key) >> bucketBits) % totalWeight;
}

} // namespace

struct routing_table::service_entry
{
    const base::service_id service;
    const bucket_table buckets;
};

struct routing_table::address_entry
{
    const std::vector<tickets::route_share> shares;
    const std::uint64_t totalWeight = 1;
    const std::vector<base::service_id> former = {};
    const bool isFormerIncomplete = false;
    const std::optional<request_traits> traits = {};
};

routing_table::routing_table(const dissemination::cluster_view &view, const routing_table &previous)
    : m_at(view.at)
{
    std::unordered_map<base::service_id, std::vector<const membership::member *>> agents
        = internal::agentsByService(view);
    for (auto it = view.services.begin(); it != view.services.end(); ++it) {
        const tickets::service_definition &service = it->second;
        std::vector<target> directors = internal::chooseDirectors(view, agents[it->first]);
        const auto existing = previous.m_services.find(it->first);
        const bool isUnchanged = existing != previous.m_services.end()
            && existing->second->buckets.size() == service.buckets
            && existing->second->buckets.targets() == directors;
        const shared_entry entry = isUnchanged
            ? existing->second
            : std::make_shared<const service_entry>(
                service_entry {it->first, bucket_table(service.buckets, std::move(directors))});
        m_services.emplace(it->first, entry);
        for (const tickets::service_address &address : service.addresses)
            m_addresses[addressKey(address.where, address.protocol)]
                = std::make_shared<const address_entry>(address_entry {{{it->first, 1}}});
    }
    applyRoutes(view);
}

void routing_table::applyRoutes(const dissemination::cluster_view &view)
{
    for (auto it = view.routes.begin(); it != view.routes.end(); ++it) {
        std::uint64_t total = 0;
        for (const tickets::route_share &share : it->second.shares)
            total += share.weight;
        if (total > 0)
            m_addresses[addressKey(it->first.where, it->first.protocol)]
                = std::make_shared<const address_entry>(address_entry {
                    it->second.shares, total, it->second.former, it->second.isFormerIncomplete,
                    request_traits {it->second.kind, it->second.priority,
                                    it->second.targetLatency}});
    }
}

bool routing_table::serves(const base::flow_key &key) const
{
    return m_addresses.count(addressKey(key.service, key.protocol)) > 0;
}

std::vector<base::service_id> routing_table::servicesFor(const base::flow_key &key) const
{
    const auto found = m_addresses.find(addressKey(key.service, key.protocol));
    if (found == m_addresses.end())
        return {};
    const address_entry &entry = *found->second;
    std::uint64_t position = positionOf(key, entry.totalWeight);
    std::vector<base::service_id> services;
    std::size_t chosen = 0;
    while (position >= entry.shares[chosen].weight)
        position -= entry.shares[chosen++].weight;
    for (std::size_t i = 0; i < entry.shares.size(); ++i) {
        const tickets::route_share &share = entry.shares[(chosen + i) % entry.shares.size()];
        if (share.weight > 0)
            services.push_back(share.service);
    }
    services.insert(services.end(), entry.former.begin(), entry.former.end());
#ifdef LYCHEESHUNT_PLANTED_FAULTS
    // Some flows go to any service that has agents.
    constexpr std::uint64_t misroutedOneIn = 16;
    if (base::isFaultPlanted("flow_misrouted") && base::hashOf(key) % misroutedOneIn == 0) {
        for (auto it = m_services.begin(); it != m_services.end(); ++it) {
            if (it->second->buckets.hasTargets())
                services.front() = it->first;
        }
    }
#endif
    return services;
}

std::optional<flow_split> routing_table::splitOf(const base::flow_key &key) const
{
    const auto found = m_addresses.find(addressKey(key.service, key.protocol));
    if (found == m_addresses.end())
        return std::nullopt;
    const address_entry &entry = *found->second;
    return flow_split {entry.shares, entry.totalWeight, positionOf(key, entry.totalWeight)};
}

std::optional<request_traits> routing_table::traitsOf(const base::flow_key &key) const
{
    const auto found = m_addresses.find(addressKey(key.service, key.protocol));
    return found == m_addresses.end() ? std::nullopt : found->second->traits;
}

bool routing_table::mayHaveOtherServices(const base::flow_key &key) const
{
    const auto found = m_addresses.find(addressKey(key.service, key.protocol));
    return found != m_addresses.end() && found->second->isFormerIncomplete;
}

bool routing_table::hasSeveralServices(const base::flow_key &key) const
{
    const auto found = m_addresses.find(addressKey(key.service, key.protocol));
    return found != m_addresses.end()
        && found->second->shares.size() + found->second->former.size() > 1;
}

routing_outcome routing_table::routeOf(const base::flow_key &key,
                                       const bypassed_agents &bypassed) const
{
    const std::vector<base::service_id> services = servicesFor(key);
    if (services.empty())
        return no_route {base::error_code::noSuchAddress};
    return routeWithin(services.front(), key, bypassed, false);
}

routing_outcome routing_table::routeWithin(base::service_id service, const base::flow_key &key,
                                           const bypassed_agents &bypassed,
                                           bool avoidsDirector) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second->buckets.hasTargets())
        return no_route {base::error_code::noServer};
    const bucket_table &buckets = found->second->buckets;
    const base::bucket bucket = buckets.bucketOf(base::hashOf(key));
    const target &director = buckets.directorOf(bucket);
    if (avoidsDirector || (!bypassed.empty() && bypassed.count(director.node) > 0)) {
        const target &backup = buckets.backupOf(bucket);
        if (bypassed.count(backup.node) == 0)
            return route {service, m_at, backup};
        if (const target *reachable = buckets.ownerWithout(bypassed, bucket))
            return route {service, m_at, *reachable};
    }
    return route {service, m_at, director};
}

std::optional<base::bucket> routing_table::bucketWithin(base::service_id service,
                                                        const base::flow_key &key) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    return found->second->buckets.bucketOf(base::hashOf(key));
}

std::vector<target> routing_table::targets() const
{
    std::vector<target> all;
    for (auto it = m_services.begin(); it != m_services.end(); ++it) {
        for (const target &each : it->second->buckets.targets())
            all.push_back(each);
    }
    return all;
}

std::size_t routing_table::memoryBytesOf(base::service_id service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second->buckets.memoryBytes();
}

} // namespace lycheeshunt::routing
