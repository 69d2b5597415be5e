#include "lycheeshunt/routing/internal/steering_log.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"

namespace lycheeshunt::routing::internal {

void logSteering(const packets::ip_summary &packet, const steering &decision, base::generation at)
{
    const std::string generation = std::to_string(at.value());
    std::visit(base::overloaded {
                   [&](const steer_to &to) {
                       base::logEvent(
                           "routing", "steered",
                           {{"flow", packet.key.text()},
                            {"generation", generation},
                            {"to", to.destination.to.packets.text()},
                            {"by", to.stage == flows::packet_stage::toOwner ? "hint" : "director"},
                            {"copy", packet.isRepeated ? "yes" : "no"}});
                   },
                   [&](const refuse_caller &refused) {
                       base::logEvent("routing", "refused",
                                      {{"flow", packet.key.text()},
                                       {"generation", generation},
                                       {"code", std::to_string(static_cast<int>(refused.reason))}});
                   },
                   [&](const drop_packet &dropped) {
                       base::logEvent("routing", "dropped",
                                      {{"flow", packet.key.text()},
                                       {"generation", generation},
                                       {"code", std::to_string(static_cast<int>(dropped.reason))}});
                   },
               },
               decision);
}

void logHedge(const due_opening &due, const send_hedge &copy)
{
    base::logEvent("routing", "hedged",
                   {{"flow", due.opening.summary.key.text()},
                    {"generation", std::to_string(copy.destination.at.value())},
                    {"to", copy.destination.to.packets.text()},
                    {"instead_of", due.opening.destination.to.packets.text()},
                    {"delay", std::to_string(due.waited.millis())}});
}

} // namespace lycheeshunt::routing::internal
