#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::flows {

// A restarted agent requests from another the flows that its earlier incarnation registered there,
// in the order of their keys, beginning after the given key.
struct recovery_request
{
    const base::service_id service;
    const routing::target asker;
    const base::flow_key after = {};

    bool operator==(const recovery_request &) const = default;
};

} // namespace lycheeshunt::flows
