#pragma once

namespace lycheeshunt::states {

// This desired state, or one with a higher number, is in force.
struct state_accepted
{
    bool operator==(const state_accepted &) const = default;
};

} // namespace lycheeshunt::states
