#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/operators/pending_request.h"
#include "lycheeshunt/routing/routing_table.h"

#include <map>
#include <string>

namespace lycheeshunt::operators {

struct operator_state
{
    // Needed for every request that changes something; empty: none is needed.
    std::string token;
    std::map<base::request_id, pending_request> waiting;
    // Built for the last request_kind::where. The next table shares the buckets of unchanged
    // services with it, which take most of the time.
    routing::shared_table table = std::make_shared<const routing::routing_table>();

    bool operator==(const operator_state &) const = default;
};

} // namespace lycheeshunt::operators
