#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/dissemination/cluster_view.h"

#include <string>
#include <vector>

namespace lycheeshunt::dissemination {

// The names of the members that have not acknowledged the generation, reachable or not.
struct force_answer
{
    const base::request_id request;
    const shared_view view;
    const std::vector<std::string> behind;

    bool isInForce() const { return behind.empty(); }

    bool operator==(const force_answer &) const = default;
};

} // namespace lycheeshunt::dissemination
