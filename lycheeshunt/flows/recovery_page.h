#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/identifiers.h"

#include <vector>

namespace lycheeshunt::flows {

// Answers a recovery_request. When more is set, the next request continues after the last key.
struct recovery_page
{
    const base::service_id service;
    const base::node_id from;
    const base::incarnation askerIncarnation;
    const std::vector<base::flow_key> flows = {};
    const bool more = false;

    bool operator==(const recovery_page &) const = default;
};

} // namespace lycheeshunt::flows
