#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/states/redirect_to_leader.h"
#include "lycheeshunt/states/state_accepted.h"
#include "lycheeshunt/states/state_contents.h"

#include <variant>

namespace lycheeshunt::states {

using state_outcome = std::variant<state_accepted, state_contents, redirect_to_leader, base::error>;

// The answer to submit_state or get_state. An error means that the outcome is unknown.
struct state_answer
{
    const base::request_id request;
    const state_outcome outcome;

    bool operator==(const state_answer &) const = default;
};

} // namespace lycheeshunt::states
