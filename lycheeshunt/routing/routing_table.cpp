#include "lycheeshunt/routing/routing_table.h"

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

} // namespace

struct routing_table::service_entry
{
    const base::service_id service;
    const bucket_table buckets;
};

routing_table::routing_table(const dissemination::cluster_view &view, const routing_table &before)
    : m_at(view.at)
{
    std::unordered_map<base::service_id, std::vector<const membership::member *>> agents
        = internal::agentsByService(view);
    for (auto it = view.services.begin(); it != view.services.end(); ++it) {
        const tickets::service_definition &service = it->second;
        std::vector<target> directors = internal::chooseDirectors(view, agents[it->first]);
        const auto known = before.m_services.find(it->first);
        const bool unchanged = known != before.m_services.end()
            && known->second->buckets.size() == service.buckets
            && known->second->buckets.targets() == directors;
        const shared_entry entry = unchanged
            ? known->second
            : std::make_shared<const service_entry>(
                service_entry {it->first, bucket_table(service.buckets, std::move(directors))});
        m_services.emplace(it->first, entry);
        for (const tickets::service_address &address : service.addresses)
            m_addresses[addressKey(address.where, address.protocol)] = entry;
    }
}

routing_outcome routing_table::routeOf(const base::flow_key &key,
                                       const bypassed_agents &bypassed) const
{
    const auto found = m_addresses.find(addressKey(key.service, key.protocol));
    if (found == m_addresses.end())
        return unroutable {base::error_code::noSuchAddress};
    const service_entry &entry = *found->second;
    if (!entry.buckets.hasTargets())
        return unroutable {base::error_code::noServer};
    const base::bucket bucket = entry.buckets.bucketOf(base::hashOf(key));
    const target &director = entry.buckets.directorOf(bucket);
    if (!bypassed.empty() && bypassed.count(director.node) > 0) {
        const target &backup = entry.buckets.backupOf(bucket);
        if (bypassed.count(backup.node) == 0)
            return route {entry.service, m_at, backup};
    }
    return route {entry.service, m_at, director};
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

std::size_t routing_table::memoryOf(base::service_id service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second->buckets.memory();
}

} // namespace lycheeshunt::routing
