// The path of packets where a backend server gives back what it does not hold. A packet may be
// tried at a server without harm, so nobody needs to agree on a flow's owner before it opens, and a
// restarted agent finds its flows by trying.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/server_answer.h"
#include "lycheeshunt/flows/server_changed.h"

namespace lycheeshunt::flows::internal {

void handleReturnablePacket(flow_context &context, const forwarded_packet &packet);

// What the server sends: answers to callers, and packets that it gives back.
void handleServerPacket(flow_context &context, const server_answer &answer);

void handleServerChange(flow_context &context, const server_changed &changed);

// Opens the flow here. The server gives the packet back when it can't take it.
void openTentatively(flow_context &context, const forwarded_packet &packet);

// Takes the packet for one of the own server's, which gives it back when it is not.
void adoptTentatively(flow_context &context, const forwarded_packet &packet);

// No agent knows the flow: tries the servers of these agents in turn, or tells the entry. When some
// agent could not be asked, the flow is taken to be there and nothing is tried.
void tryCandidateServers(flow_context &context, const forwarded_packet &packet,
                         const std::vector<base::node_id> &candidates, bool isDoubtful);

void deliveryTick(flow_context &context);
// Goes on with packets that came before the first view.
void handleEarlyPackets(flow_context &context);

} // namespace lycheeshunt::flows::internal
