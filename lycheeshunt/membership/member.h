#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"

#include <string>

namespace lycheeshunt::membership {

enum class member_role : std::uint8_t { entry = 1, agent = 2 };

enum class member_phase : std::uint8_t { serving = 1, suspected = 2, draining = 3 };

// One process of the system as control knows it. An entry has no service.
struct member
{
    const std::string name;
    const std::string availabilityZone;
    const member_role role = member_role::agent;
    const base::service_id service;
    const base::incarnation life;
    const base::endpoint packets;
    const member_phase phase = member_phase::serving;

    base::node_id id() const { return base::nodeIdOf(name); }
    member withPhase(member_phase next) const
    {
        return member {name, availabilityZone, role, service, life, packets, next};
    }

    bool operator==(const member &) const = default;
};

} // namespace lycheeshunt::membership
