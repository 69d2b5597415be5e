// Creates the views that control would publish, for the tests of the flow decisions.

#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheeshunt::flows {

class fake_membership
{
public:
    const dissemination::shared_view &view() const { return m_view; }

    // Adds the agent with a new incarnation.
    membership::member join(const std::string &name, const std::string &service,
                            const std::string &zone, const base::endpoint &packets)
    {
        membership::member joined {name,
                                   zone,
                                   membership::member_role::agent,
                                   base::serviceIdOf(service),
                                   base::incarnation(++m_lastIncarnation),
                                   packets,
                                   membership::member_phase::serving};
        change({{joined}, {}});
        return joined;
    }

    void evict(const std::string &name) { change({{}, {base::nodeIdOf(name)}}); }

    void suspect(const std::string &name)
    {
        const membership::member &member = m_view->members.at(base::nodeIdOf(name));
        change({{member.withPhase(membership::member_phase::suspected)}, {}});
    }

    void drain(const std::string &name, bool draining)
    {
        changeByTicket(tickets::drain_order {name, draining});
    }

    void define(const std::string &service, const std::vector<base::endpoint> &addresses,
                std::uint32_t connections)
    {
        constexpr std::uint32_t buckets = 64;
        std::vector<tickets::service_address> all;
        all.reserve(addresses.size());
        for (const base::endpoint &address : addresses)
            all.push_back(tickets::service_address {address, 6});
        const tickets::service_limits limits {7, connections};
        changeByTicket(tickets::service_definition {service, all, limits, buckets});
    }

    base::service_id serviceAt(const base::endpoint &address) const
    {
        for (auto it = m_view->services.begin(); it != m_view->services.end(); ++it) {
            for (const tickets::service_address &served : it->second.addresses) {
                if (served.where == address)
                    return it->first;
            }
        }
        return base::service_id();
    }

private:
    void change(const membership::membership_batch &batch)
    {
        m_view = std::make_shared<const dissemination::cluster_view>(
            m_view->withBatch(nextGeneration(), batch));
    }

    void changeByTicket(const tickets::ticket_change &made)
    {
        const base::generation next = nextGeneration();
        m_view = std::make_shared<const dissemination::cluster_view>(m_view->withTicket(
            next, tickets::ticket {base::ticket_number(next.value()), "test", {made}}));
    }

    base::generation nextGeneration() const { return base::generation(m_view->at.value() + 1); }

    dissemination::shared_view m_view = std::make_shared<const dissemination::cluster_view>(
        dissemination::cluster_view {base::generation()});
    std::uint64_t m_lastIncarnation = 0;
};

} // namespace lycheeshunt::flows
