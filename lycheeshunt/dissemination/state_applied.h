#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/states/desired_state.h"

namespace lycheeshunt::dissemination {

// A committed desired state created this generation.
struct state_applied
{
    const base::generation at;
    const states::shared_state state;

    bool operator==(const state_applied &) const = default;
};

} // namespace lycheeshunt::dissemination
