#pragma once

#include "lycheeshunt/base/error_code.h"
#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/flows/packet_stage.h"

#include <optional>

namespace lycheeshunt::flows {

enum class flow_event_kind : std::uint8_t {
    opened = 1, // at this agent's server
    offered, // as new, to another agent
    adopted, // taken for one of the server's, which may give it back
    givenBack, // by the server
    searched, // the other agents are asked
    unknown, // told to the entry
    serverSilent, // left an opening packet unanswered
    refused, // its caller is reset
    held, // until the first view
    waits, // a request, for a slot of the server
    abandoned, // a request that waited, its caller being silent
};

// The last of the kinds.
constexpr std::size_t flowEventKinds = static_cast<std::size_t>(flow_event_kind::abandoned);

// What was decided about a flow and what decided it, for the log.
struct flow_event
{
    const flow_event_kind kind;
    const base::flow_key key;
    const packet_stage stage = packet_stage::toDirector;
    const base::generation at;
    // Another agent that the decision is about.
    const base::node_id other = {};
    const std::uint32_t busy = 0;
    const std::uint32_t owned = 0;
    // An agent that might have the flow could not be asked.
    const bool isDoubtful = false;
    const std::optional<base::error_code> reason = {};

    bool operator==(const flow_event &) const = default;
};

} // namespace lycheeshunt::flows
