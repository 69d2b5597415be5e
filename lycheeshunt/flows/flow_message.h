#pragma once

#include "lycheeshunt/flows/flow_registration.h"
#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/server_answer.h"
#include "lycheeshunt/flows/tick.h"
#include "lycheeshunt/flows/view_update.h"

#include <variant>

namespace lycheeshunt::flows {

using flow_message
    = std::variant<forwarded_packet, server_answer, flow_registration, view_update, tick>;

} // namespace lycheeshunt::flows
