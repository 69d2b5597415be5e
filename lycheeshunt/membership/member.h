#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/membership/member_health.h"

#include <string>

namespace lycheeshunt::membership {

enum class member_role : std::uint8_t { entry = 1, agent = 2 };

enum class member_phase : std::uint8_t { serving = 1, suspected = 2, draining = 3 };

// Parts of a full share of new flows. A member that has just started serving has fewer parts.
constexpr std::uint8_t fullShare = 4;

// An entry or agent process as control knows it. An entry has no service.
struct member
{
    const std::string name;
    const std::string availabilityZone;
    const member_role role = member_role::agent;
    const base::service_id service;
    const base::incarnation incarnation;
    const base::endpoint packets;
    // Members announce serving or draining; only control sets suspected.
    const member_phase phase = member_phase::serving;
    // Health of the agent's backend server, as the agent reports it.
    const member_health health = member_health::good;
    // Between 1 and fullShare; set by control only.
    const std::uint8_t share = fullShare;

    base::node_id id() const { return base::nodeIdOf(name); }
    member withPhase(member_phase next) const
    {
        return member {name, availabilityZone, role, service, incarnation, packets,
                       next, health,           share};
    }
    member withShare(std::uint8_t next) const
    {
        return member {name,  availabilityZone, role, service, incarnation, packets,
                       phase, health,           next};
    }
    // Compares the fields that are fixed within one incarnation.
    bool isSameIncarnationAs(const member &other) const
    {
        return name == other.name && role == other.role && service == other.service
            && incarnation == other.incarnation && packets == other.packets;
    }

    bool operator==(const member &) const = default;
};

} // namespace lycheeshunt::membership
