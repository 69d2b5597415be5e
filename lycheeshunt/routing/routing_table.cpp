#include "lycheeshunt/routing/routing_table.h"

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
    base::service_id service;
    bucket_table buckets;
};

std::vector<target> directorsOf(const dissemination::cluster_view &view, base::service_id service)
{
    std::vector<target> healthy;
    std::vector<target> every;
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        const membership::member &member = it->second;
        if (member.role != membership::member_role::agent || member.service != service)
            continue;
        const target agent {it->first, member.life, member.packets};
        every.push_back(agent);
        if (!view.isDraining(member) && member.phase == membership::member_phase::serving)
            healthy.push_back(agent);
    }
    return healthy.empty() ? every : healthy;
}

routing_table::routing_table(const dissemination::cluster_view &view) : m_at(view.at)
{
    for (auto it = view.services.begin(); it != view.services.end(); ++it) {
        const tickets::service_definition &service = it->second;
        const std::shared_ptr<const service_entry> entry = std::make_shared<const service_entry>(
            service_entry {it->first, bucket_table(service.buckets, directorsOf(view, it->first))});
        for (const tickets::service_address &address : service.addresses)
            m_addresses[addressKey(address.where, address.protocol)] = entry;
    }
}

routing_outcome routing_table::routeOf(const base::flow_key &key) const
{
    const auto found = m_addresses.find(addressKey(key.service, key.protocol));
    if (found == m_addresses.end())
        return unroutable {base::error_code::noSuchAddress};
    const service_entry &entry = *found->second;
    if (!entry.buckets.hasTargets())
        return unroutable {base::error_code::noServer};
    const base::bucket bucket = entry.buckets.bucketOf(base::hashOf(key));
    return route {entry.service, m_at, entry.buckets.directorOf(bucket)};
}

} // namespace lycheeshunt::routing
