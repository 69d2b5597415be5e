#include "lycheeshunt/flows/decision.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/routing/routing_table.h"

#include <optional>

namespace lycheeshunt::flows {

namespace {

constexpr std::uint8_t maxHops = 4;

using flow_step = base::step<flow_state, flow_action>;

bool hasRoom(const flow_state &state)
{
    return !state.draining && state.owned.size() < state.maxOwned;
}

void touch(flow_state &state, const base::flow_key &key, bool finishing, base::clock_time now)
{
    state.owned.erase(key);
    state.owned.emplace(key, owned_flow {now, finishing});
}

// Tells the flow's director and backup who owns it.
void registerFlow(const flow_state &state, const base::flow_key &key, bool alive,
                  std::vector<flow_action> &actions)
{
    if (!state.buckets || !state.buckets->hasTargets())
        return;
    const base::bucket bucket = state.buckets->bucketOf(base::hashOf(key));
    const flow_registration registration {state.identity->service, key, state.identity->node,
                                          alive};
    const routing::target &director = state.buckets->directorOf(bucket);
    const routing::target &backup = state.buckets->backupOf(bucket);
    if (director.node != state.identity->node)
        actions.emplace_back(send_registration {director.packets, registration});
    if (backup.node != state.identity->node && backup.node != director.node)
        actions.emplace_back(send_registration {backup.packets, registration});
}

void own(flow_state &state, const forwarded_packet &packet, base::clock_time now,
         std::vector<flow_action> &actions)
{
    touch(state, packet.summary.key, false, now);
    registerFlow(state, packet.summary.key, true, actions);
    actions.emplace_back(deliver_to_server {packet.bytes});
}

forwarded_packet readdressed(const forwarded_packet &packet, const routing::target &to,
                             packet_stage stage)
{
    return forwarded_packet {
        packet.service, to.life,     packet.at, stage, static_cast<std::uint8_t>(packet.hops + 1),
        packet.summary, packet.bytes};
}

// An owner may be draining, so it is looked up among all members and not only the directors.
std::optional<routing::target> targetOf(const flow_state &state, base::node_id node)
{
    if (!state.view)
        return std::nullopt;
    const auto found = state.view->members.find(node);
    if (found == state.view->members.end())
        return std::nullopt;
    return routing::target {node, found->second.life, found->second.packets};
}

void passOn(const forwarded_packet &packet, const routing::target &to, packet_stage stage,
            std::vector<flow_action> &actions)
{
    if (packet.hops >= maxHops)
        actions.emplace_back(refuse_packet {base::error_code::tooManyHops});
    else
        actions.emplace_back(send_packet {to.packets, readdressed(packet, to, stage)});
}

void openFlow(flow_state &state, const forwarded_packet &packet, base::clock_time now,
              std::vector<flow_action> &actions)
{
    if (hasRoom(state)) {
        own(state, packet, now, actions);
        return;
    }
    const routing::target *second = nullptr;
    if (state.buckets && state.buckets->hasTargets()) {
        const base::bucket bucket = state.buckets->bucketOf(base::hashOf(packet.summary.key));
        second = &state.buckets->backupOf(bucket);
    }
    if (packet.stage == packet_stage::toDirector && second != nullptr
        && second->node != state.identity->node) {
        passOn(packet, *second, packet_stage::offer, actions);
        return;
    }
    const base::error_code reason
        = state.draining ? base::error_code::serverDraining : base::error_code::flowTableFull;
    actions.emplace_back(reset_caller {packet.bytes, reason});
}

void handleUnknown(const flow_state &state, const forwarded_packet &packet,
                   std::vector<flow_action> &actions)
{
    if (state.previousBuckets && state.previousBuckets->hasTargets()) {
        const base::bucket bucket
            = state.previousBuckets->bucketOf(base::hashOf(packet.summary.key));
        const routing::target &previous = state.previousBuckets->directorOf(bucket);
        if (previous.node != state.identity->node && packet.hops < maxHops) {
            passOn(packet, previous, packet_stage::toDirector, actions);
            return;
        }
    }
    actions.emplace_back(reset_caller {packet.bytes, base::error_code::flowUnknown});
}

void handlePacket(flow_state &state, const forwarded_packet &packet, base::clock_time now,
                  std::vector<flow_action> &actions)
{
    if (packet.service != state.identity->service) {
        actions.emplace_back(refuse_packet {base::error_code::wrongService});
        return;
    }
    if (packet.life != state.identity->life) {
        actions.emplace_back(refuse_packet {base::error_code::wrongIncarnation});
        return;
    }
    const base::flow_key &key = packet.summary.key;
    if (state.owned.count(key) > 0 || packet.stage == packet_stage::toOwner) {
        touch(state, key, packet.summary.finishes, now);
        actions.emplace_back(deliver_to_server {packet.bytes});
        return;
    }
    const auto known = state.directory.find(key);
    if (known != state.directory.end()) {
        const std::optional<routing::target> owner = targetOf(state, known->second);
        if (owner) {
            passOn(packet, *owner, packet_stage::toOwner, actions);
            return;
        }
        state.directory.erase(known);
    }
    if (packet.summary.opens)
        openFlow(state, packet, now, actions);
    else
        handleUnknown(state, packet, actions);
}

void handleAnswer(flow_state &state, const server_answer &answer, base::clock_time now,
                  std::vector<flow_action> &actions)
{
    actions.emplace_back(answer_caller {answer.bytes});
    const auto found = state.owned.find(answer.summary.key);
    if (found == state.owned.end())
        return;
    const bool ended
        = answer.summary.resets || (answer.summary.finishes && found->second.finishing);
    if (!ended) {
        touch(state, answer.summary.key, found->second.finishing, now);
        return;
    }
    registerFlow(state, answer.summary.key, false, actions);
    state.owned.erase(answer.summary.key);
}

void handleRegistration(flow_state &state, const flow_registration &registration)
{
    if (registration.service != state.identity->service)
        return;
    state.directory.erase(registration.key);
    if (registration.alive)
        state.directory.emplace(registration.key, registration.owner);
}

void handleView(flow_state &state, const view_update &update, std::vector<flow_action> &actions)
{
    const dissemination::cluster_view &view = *update.view;
    state.view = update.view;
    const auto service = view.services.find(state.identity->service);
    if (service == view.services.end())
        return;
    const auto self = view.members.find(state.identity->node);
    state.draining = self != view.members.end() && view.isDraining(self->second);
    state.maxOwned = service->second.limits.connections;
    state.previousBuckets = state.buckets;
    state.buckets = std::make_shared<const routing::bucket_table>(
        service->second.buckets, routing::directorsOf(view, state.identity->service));
    for (auto it = state.owned.begin(); it != state.owned.end(); ++it)
        registerFlow(state, it->first, true, actions);
}

} // namespace

flow_step decide(flow_state state, const flow_message &message, base::clock_time now)
{
    std::vector<flow_action> actions;
    std::visit(
        base::overloaded {
            [&](const forwarded_packet &packet) { handlePacket(state, packet, now, actions); },
            [&](const server_answer &answer) { handleAnswer(state, answer, now, actions); },
            [&](const flow_registration &registration) { handleRegistration(state, registration); },
            [&](const view_update &update) { handleView(state, update, actions); },
            [](const tick &) {},
        },
        message);
    return flow_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::flows
