#pragma once

#include "lycheeshunt/base/error_code.h"
#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/flows/packet_stage.h"

#include <optional>

namespace lycheeshunt::flows {

enum class flow_event_kind : std::uint8_t {
    opened = 1, // at this agent's backend server
    offered, // as a new flow, to another agent
    adopted, // delivered as a flow of the backend server, which may return the packet
    givenBack, // returned by the backend server
    searched, // the other agents are queried for its owner
    unknown, // no agent has the flow; the entry is notified
    serverSilent, // the backend server did not answer an opening packet
    refused, // its caller is reset
    held, // buffered until the first view
    waits, // a request waits for a slot of the backend server
    abandoned, // a waiting request was dropped because its caller is silent
    idle, // forgotten, since no packet came for the idle time-out
    tried, // delivered in turn to the backend servers that may have it
    displaced, // a request was dropped, since the queue is full and others have a higher priority
    cold, // offered to another agent because the backend server warms up
    failed, // the backend server ended the flow instead of answering its request
};

// Kinds are numbered from 1, so the last one is also their number.
constexpr std::size_t flowEventKinds = static_cast<std::size_t>(flow_event_kind::failed);

// A decision about a flow and its reasons, for the log.
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
    // An agent that may have the flow did not answer.
    const bool isDoubtful = false;
    const std::optional<base::error_code> reason = {};
    // Agents that were queried, or whose backend servers are tried.
    const std::uint32_t agents = 0;
    // The caller's packet resets its flow.
    const bool resets = false;

    bool operator==(const flow_event &) const = default;
};

} // namespace lycheeshunt::flows
