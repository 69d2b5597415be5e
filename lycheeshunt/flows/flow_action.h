#pragma once

#include "lycheeshunt/flows/answer_caller.h"
#include "lycheeshunt/flows/deliver_to_server.h"
#include "lycheeshunt/flows/flow_event.h"
#include "lycheeshunt/flows/refuse_packet.h"
#include "lycheeshunt/flows/request_timing.h"
#include "lycheeshunt/flows/reset_caller.h"
#include "lycheeshunt/flows/send_packet.h"
#include "lycheeshunt/flows/send_to_peer.h"

#include <variant>

namespace lycheeshunt::flows {

using flow_action = std::variant<send_packet, send_to_peer, deliver_to_server, answer_caller,
                                 reset_caller, refuse_packet, flow_event, request_timing>;

} // namespace lycheeshunt::flows
