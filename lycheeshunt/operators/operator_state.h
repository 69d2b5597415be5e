#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/operators/pending_request.h"

#include <map>
#include <string>

namespace lycheeshunt::operators {

struct operator_state
{
    // Needed for every request that changes something; empty: none is needed.
    std::string token;
    std::map<base::request_id, pending_request> waiting;

    bool operator==(const operator_state &) const = default;
};

} // namespace lycheeshunt::operators
