#include "lycheeshunt/daemon/internal/control_log.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/membership/membership_batch.h"
#include "lycheeshunt/replication/configuration.h"

namespace lycheeshunt::daemon::internal {

namespace {

const char *nameOf(membership::member_phase phase)
{
    switch (phase) {
    case membership::member_phase::serving:
        return "serving";
    case membership::member_phase::suspected:
        return "suspected";
    case membership::member_phase::draining:
        return "draining";
    }
    return "other";
}

} // namespace

void logMembers(const replication::configuration &members)
{
    std::string names;
    for (const replication::configuration_member &member : members.members)
        names += (names.empty() ? "" : ",") + member.name + (member.isVoter ? "" : "(learning)");
    base::logEvent("replication", "members",
                   {{"members", names}, {"voters", std::to_string(members.voterCount())}});
}

void logBatch(base::generation at, const membership::membership_batch &batch)
{
    const std::string generation = std::to_string(at.value());
    for (const membership::member &member : batch.updated)
        base::logEvent("membership", "member",
                       {{"generation", generation},
                        {"name", member.name},
                        {"node", std::to_string(member.id().value())},
                        {"phase", nameOf(member.phase)},
                        {"incarnation", std::to_string(member.incarnation.value())},
                        {"share", std::to_string(member.share)}});
    for (const base::node_id &node : batch.removed)
        base::logEvent("membership", "gone",
                       {{"generation", generation}, {"node", std::to_string(node.value())}});
}

const char *nameOf(const states::state_outcome &outcome)
{
    return std::visit(base::overloaded {
                          [](const states::state_accepted &) { return "accepted"; },
                          [](const states::state_contents &) { return "shown"; },
                          [](const states::redirect_to_leader &) { return "sent_to_leader"; },
                          [](const base::error &) { return "not_known"; },
                      },
                      outcome);
}

const char *nameOf(const evacuations::order_outcome &outcome)
{
    return std::visit(base::overloaded {
                          [](const evacuations::order_accepted &) { return "accepted"; },
                          [](const evacuations::redirect_to_leader &) { return "sent_to_leader"; },
                          [](const base::error &) { return "not_known"; },
                      },
                      outcome);
}

} // namespace lycheeshunt::daemon::internal
