#include "lycheeshunt/flows/event_log.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/flows/flow_event.h"

namespace lycheeshunt::flows {

const char *nameOf(flow_event_kind kind)
{
    switch (kind) {
    case flow_event_kind::opened:
        return "opened";
    case flow_event_kind::offered:
        return "offered";
    case flow_event_kind::adopted:
        return "adopted";
    case flow_event_kind::givenBack:
        return "given_back";
    case flow_event_kind::searched:
        return "searched";
    case flow_event_kind::unknown:
        return "unknown";
    case flow_event_kind::serverSilent:
        return "server_silent";
    case flow_event_kind::refused:
        return "refused";
    case flow_event_kind::held:
        return "held";
    case flow_event_kind::waits:
        return "waits";
    case flow_event_kind::abandoned:
        return "abandoned";
    case flow_event_kind::idle:
        return "idle";
    case flow_event_kind::tried:
        return "tried";
    case flow_event_kind::displaced:
        return "displaced";
    case flow_event_kind::cold:
        return "cold";
    case flow_event_kind::failed:
        return "failed";
    }
    return "other";
}

namespace {

const char *nameOf(packet_stage stage)
{
    switch (stage) {
    case packet_stage::toDirector:
        return "to_director";
    case packet_stage::offer:
        return "offer";
    case packet_stage::toOwner:
        return "to_owner";
    case packet_stage::declined:
        return "declined";
    case packet_stage::trial:
        return "trial";
    case packet_stage::unknown:
        return "unknown";
    }
    return "other";
}

} // namespace

void logFlowEvent(const flow_event &event)
{
    base::logEvent(
        "flows", nameOf(event.kind),
        {{"flow", event.key.text()},
         {"stage", nameOf(event.stage)},
         {"generation", std::to_string(event.at.value())},
         {"other", event.other == base::node_id() ? "" : std::to_string(event.other.value())},
         {"busy", std::to_string(event.busy)},
         {"owned", std::to_string(event.owned)},
         {"doubtful", event.isDoubtful ? "yes" : "no"},
         {"code", event.reason ? std::to_string(static_cast<int>(*event.reason)) : ""},
         {"agents", std::to_string(event.agents)},
         {"rst", event.resets ? "yes" : "no"}});
}

} // namespace lycheeshunt::flows
