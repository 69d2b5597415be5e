#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/dissemination/cluster_view.h"

#include <string>
#include <vector>

namespace lycheeshunt::dissemination {

// Maximum number of names in each list of an answer. The counts are always complete.
constexpr std::size_t maxInForceAnswerNames = 100;

// The members that have not acknowledged the generation: `behind` have a stream to control;
// `unreachable` have none, or only one of an earlier incarnation.
struct in_force_answer
{
    const base::request_id request;
    const base::generation at;
    const shared_view view;
    const std::vector<std::string> behind;
    const std::size_t behindCount = 0;
    const std::vector<std::string> unreachable = {};
    const std::size_t unreachableCount = 0;

    bool isInForce() const { return view->at >= at && behindCount == 0 && unreachableCount == 0; }

    bool operator==(const in_force_answer &) const = default;
};

} // namespace lycheeshunt::dissemination
