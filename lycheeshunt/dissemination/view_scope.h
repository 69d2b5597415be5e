#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::dissemination {

// The part of the view that a node needs: an entry the whole, an agent its own service.
struct view_scope
{
    // Zero: every service.
    const base::service_id service;

    bool isWhole() const { return service == base::service_id(); }
    bool covers(base::service_id other) const { return isWhole() || service == other; }

    bool operator==(const view_scope &) const = default;
};

} // namespace lycheeshunt::dissemination
