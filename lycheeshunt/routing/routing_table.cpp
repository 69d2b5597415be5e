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

namespace {

// The agents of one service, gathered in the order of the view.
struct service_agents
{
    std::vector<target> healthy;
    std::vector<target> every;

    void add(const dissemination::cluster_view &view, const membership::member &member)
    {
        const target agent {member.id(), member.life, member.packets};
        every.push_back(agent);
        if (!view.isDraining(member) && member.phase == membership::member_phase::serving)
            healthy.push_back(agent);
    }

    const std::vector<target> &directors() const { return healthy.empty() ? every : healthy; }
};

// One pass over the members, however many services there are.
std::unordered_map<base::service_id, service_agents>
agentsByService(const dissemination::cluster_view &view)
{
    std::unordered_map<base::service_id, service_agents> all;
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        if (it->second.role == membership::member_role::agent)
            all[it->second.service].add(view, it->second);
    }
    return all;
}

} // namespace

std::vector<target> directorsOf(const dissemination::cluster_view &view, base::service_id service)
{
    service_agents agents;
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        const membership::member &member = it->second;
        if (member.role == membership::member_role::agent && member.service == service)
            agents.add(view, member);
    }
    return agents.directors();
}

routing_table::routing_table(const dissemination::cluster_view &view)
    : routing_table(view, routing_table())
{
}

routing_table::routing_table(const dissemination::cluster_view &view, const routing_table &before)
    : m_at(view.at)
{
    const std::unordered_map<base::service_id, service_agents> agents = agentsByService(view);
    for (auto it = view.services.begin(); it != view.services.end(); ++it) {
        const tickets::service_definition &service = it->second;
        const auto known = agents.find(it->first);
        const std::vector<target> directors
            = known == agents.end() ? std::vector<target> {} : known->second.directors();
        const auto old = before.m_services.find(it->first);
        const bool isSame = old != before.m_services.end()
            && old->second->buckets.size() == service.buckets
            && old->second->buckets.targets() == directors;
        const shared_entry entry = isSame ? old->second
                                          : std::make_shared<const service_entry>(service_entry {
                                              it->first, bucket_table(service.buckets, directors)});
        m_services.emplace(it->first, entry);
        for (const tickets::service_address &address : service.addresses)
            m_addresses.emplace(addressKey(address.where, address.protocol), entry);
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
