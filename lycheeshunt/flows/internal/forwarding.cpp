#include "lycheeshunt/flows/internal/forwarding.h"

#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/service_view.h"

namespace lycheeshunt::flows::internal {

namespace {
constexpr std::uint8_t maxHops = 4;
}

void forwardTo(flow_context &context, const forwarded_packet &packet, const routing::target &to,
               packet_stage stage)
{
    if (packet.hops >= maxHops) {
        context.actions.emplace_back(refuse_packet {base::error_code::tooManyHops});
        return;
    }
    context.actions.emplace_back(send_packet {
        to.packets,
        forwarded_packet {
            packet.service, to.incarnation, std::max(packet.at, currentGeneration(context.state)),
            stage, static_cast<std::uint8_t>(packet.hops + 1), packet.summary, packet.bytes,
            packet.entry, packet.agents, packet.isDoubtful || isAheadOf(context.state, packet),
            packet.requestClass}});
}

void storeOwner(flow_context &context, const base::flow_key &key, const routing::target &owner,
                base::generation at)
{
    if (isSelf(context.state, owner.node) || !directoryHasRoom(context.state, key))
        return;
    context.state.directory.put(key, directory_entry {owner, at, context.now, 0});
}

} // namespace lycheeshunt::flows::internal
