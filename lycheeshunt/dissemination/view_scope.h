#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::dissemination {

// The part of the view that a node needs: everything for an entry, its own service for an agent.
struct view_scope
{
    // Zero stands for all services.
    const base::service_id service;

    bool isComplete() const { return service == base::service_id(); }
    bool covers(base::service_id other) const { return isComplete() || service == other; }

    bool operator==(const view_scope &) const = default;
};

} // namespace lycheeshunt::dissemination
