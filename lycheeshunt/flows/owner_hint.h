#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::flows {

// Tells an entry who owns a flow, so that its next packets go there at once. An entry that loses
// the hint asks the flow's director again.
struct owner_hint
{
    const base::service_id service;
    const base::flow_key key;
    const routing::target owner;

    bool operator==(const owner_hint &) const = default;
};

} // namespace lycheeshunt::flows
