#include "lycheeshunt/flows/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/flows/internal/delivery_timeouts.h"
#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/flow_searches.h"
#include "lycheeshunt/flows/internal/lookup.h"
#include "lycheeshunt/flows/internal/lookup_replies.h"
#include "lycheeshunt/flows/internal/opening_limit.h"
#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/packet_path.h"
#include "lycheeshunt/flows/internal/recovery.h"
#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/request_queueing.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/view_change.h"

namespace lycheeshunt::flows {

namespace {

using internal::flow_context;

void handlePeer(flow_context &context, const peer_message &message)
{
    flow_state &state = context.state;
    std::visit(base::overloaded {
                   [&](const registration_batch &batch) {
                       internal::recordPeerGeneration(state, batch.owner.node, batch.at);
                       internal::handleRegistration(context, batch);
                   },
                   [&](const registration_ack &ack) {
                       internal::recordPeerGeneration(state, ack.from, ack.at);
                       internal::handleRegistrationAck(context, ack);
                   },
                   [&](const flow_lookup &lookup) {
                       internal::recordPeerGeneration(state, lookup.asker.node, lookup.at);
                       internal::handleLookup(context, lookup);
                   },
                   [&](const lookup_answer &answer) {
                       internal::recordPeerGeneration(state, answer.from.node, answer.at);
                       internal::handleLookupAnswer(context, answer);
                   },
                   [&](const recovery_request &request) {
                       internal::handleRecoveryRequest(context, request);
                   },
                   [&](const recovery_page &page) { internal::handleRecoveryPage(context, page); },
                   // Meant for entries only.
                   [](const owner_hint &) {},
                   [](const opening_hint &) {},
                   [](const hint_withdrawn &) {},
                   [&](const placement::load_report &report) {
                       internal::handleLoadReport(context, report);
                   },
               },
               message);
}

void handleTick(flow_context &context)
{
    internal::recoveryTick(context);
    internal::lookupTick(context);
    internal::searchTick(context);
    internal::ownershipTick(context);
    internal::directoryTick(context);
    internal::registrarTick(context);
    if (context.state.identity->serverReturnsPackets) {
        internal::deliveryTick(context);
        internal::requestQueueTick(context);
    }
}

} // namespace

base::step<flow_state, flow_action> decide(flow_state state, const flow_message &message,
                                           base::clock_time now)
{
    std::vector<flow_action> actions;
    flow_context context {state, now, actions};
    const bool serverReturns = state.identity->serverReturnsPackets;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(
            base::overloaded {
                [&](const forwarded_packet &packet) {
                    if (serverReturns)
                        internal::handleReturnablePacket(context, packet);
                    else
                        internal::handlePacket(context, packet);
                },
                [&](const server_answer &answer) {
                    if (serverReturns)
                        internal::handleServerPacket(context, answer);
                    else
                        internal::handleAnswer(context, answer);
                },
                [&](const server_changed &changed) {
                    internal::handleServerChange(context, changed);
                },
                [&](const warmup_changed &changed) { internal::handleWarmup(context, changed); },
                [&](const peer_message &peer) { handlePeer(context, peer); },
                [&](const view_update &update) { internal::handleView(context, update); },
                [&](const tick &) { handleTick(context); },
            },
            message);
        internal::deliverQueuedRequests(context);
        internal::publishOwnLoad(context);
    });
    return base::step<flow_state, flow_action> {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::flows
