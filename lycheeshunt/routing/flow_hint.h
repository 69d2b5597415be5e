#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::routing {

// Which agent answered for a flow, and when the entry learned it.
struct flow_hint
{
    const base::service_id service;
    const target owner;
    const base::clock_time at;

    bool operator==(const flow_hint &) const = default;
};

} // namespace lycheeshunt::routing
