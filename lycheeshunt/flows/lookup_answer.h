#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/flows/lookup_verdict.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::flows {

// Answers a flow_lookup.
struct lookup_answer
{
    const base::service_id service;
    const base::flow_key key;
    const routing::target from;
    const base::generation at;
    const lookup_verdict verdict = lookup_verdict::unknown;
    // Valid only with lookup_verdict::owned.
    const routing::target owner;

    bool operator==(const lookup_answer &) const = default;
};

} // namespace lycheeshunt::flows
