#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::states {

// Another VM leads: ask there.
struct ask_leader
{
    const base::endpoint api;

    bool operator==(const ask_leader &) const = default;
};

} // namespace lycheeshunt::states
