#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/membership/membership_batch.h"
#include "lycheeshunt/states/desired_state.h"

#include <optional>

namespace lycheeshunt::dissemination {

// What several entries of the log amount to, up to this generation. The generations between are
// not known here.
struct entries_merged
{
    const base::generation at;
    const std::optional<membership::membership_batch> batch = {};
    // Null when no entry was a desired state.
    const states::shared_state state = {};

    bool operator==(const entries_merged &) const = default;
};

} // namespace lycheeshunt::dissemination
