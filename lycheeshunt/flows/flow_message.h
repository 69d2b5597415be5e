#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/peer_message.h"
#include "lycheeshunt/flows/server_answer.h"
#include "lycheeshunt/flows/server_changed.h"
#include "lycheeshunt/flows/tick.h"
#include "lycheeshunt/flows/view_update.h"
#include "lycheeshunt/flows/warmup_changed.h"

#include <variant>

namespace lycheeshunt::flows {

using flow_message = std::variant<forwarded_packet, server_answer, peer_message, view_update,
                                  server_changed, warmup_changed, tick>;

} // namespace lycheeshunt::flows
