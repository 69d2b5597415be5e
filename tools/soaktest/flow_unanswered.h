// An open flow got no answer although all processes run again.

#pragma once

#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::soak {

struct flow_unanswered
{
    base::flow_key flow;

    bool operator==(const flow_unanswered &) const = default;
};

} // namespace lycheeshunt::soak
