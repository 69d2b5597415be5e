#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/evacuations/evacuation_order.h"
#include "lycheeshunt/membership/membership_batch.h"
#include "lycheeshunt/states/desired_state.h"

#include <optional>
#include <vector>

namespace lycheeshunt::dissemination {

// The combined effect of several log entries up to this generation. The generations in between are
// not known to the publisher.
struct entries_merged
{
    const base::generation at;
    const std::optional<membership::membership_batch> batch = {};
    // Null if none of the entries was a desired state.
    const states::shared_state state = {};
    const std::vector<evacuations::evacuation_order> evacuations = {};

    bool operator==(const entries_merged &) const = default;
};

} // namespace lycheeshunt::dissemination
