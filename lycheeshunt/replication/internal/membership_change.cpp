#include "lycheeshunt/replication/internal/membership_change.h"

#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/internal/leading.h"

namespace lycheeshunt::replication::internal {

namespace {

const peer_presence *freshPresence(const replica_state &state, base::node_id node)
{
    const auto found = state.presences.find(node);
    const bool isFresh = found != state.presences.end()
        && state.now - found->second.heardAt <= state.settings->timing.presenceValid;
    return isFresh ? &found->second : nullptr;
}

bool isFirstByName(const replica_settings &settings)
{
    return std::all_of(settings.peers.begin(), settings.peers.end(),
                       [&](const std::string &peer) { return settings.name <= peer; });
}

// A member that the settings list and whose disk the configuration does not know.
std::optional<configuration_member> nextJoiner(const replica_state &state)
{
    for (const std::string &name : state.settings->peers) {
        const peer_presence *peer = freshPresence(state, base::nodeIdOf(name));
        if (peer == nullptr)
            continue;
        const configuration_member *known = state.members().find(base::nodeIdOf(name));
        if (known == nullptr || known->storage != peer->storage)
            return configuration_member {name, peer->storage, false};
    }
    return std::nullopt;
}

std::optional<configuration_member> nextVoter(const replica_state &state, const leader_role &leader)
{
    for (const configuration_member &member : state.members().members) {
        const auto progress = leader.progress.find(member.id().node);
        if (!member.isVoter && progress != leader.progress.end()
            && progress->second.match >= state.commit)
            return configuration_member {member.name, member.storage, true};
    }
    return std::nullopt;
}

} // namespace

void trackConfiguration(replica_state &state, const log_entry &entry)
{
    if (entry.kind != entry_kind::configuration)
        return;
    const base::result<configuration> members = decodeConfiguration(entry.payload);
    if (const configuration *known = std::get_if<configuration>(&members))
        state.configurations.push_back(indexed_configuration {entry.index, *known});
}

void forgetConfigurations(replica_state &state, base::generation from)
{
    while (!state.configurations.empty() && state.configurations.back().index >= from)
        state.configurations.pop_back();
}

void takePresence(replica_work work, const replica_id &from, const presence &message)
{
    work.state.presences.erase(from.node);
    work.state.presences.emplace(
        from.node, peer_presence {from.storage, message.isFormed, message.api, work.state.now});
}

void sendPresence(replica_work work)
{
    replica_state &state = work.state;
    if (state.now < state.nextPresence)
        return;
    state.nextPresence = state.now + work.timing().presenceEvery;
    for (const std::string &name : state.settings->peers) {
        if (name != state.settings->name)
            work.answer(replica_id {base::nodeIdOf(name), storage_id()},
                        presence {state.isFormed(), state.settings->api});
    }
}

void foundCluster(replica_work work)
{
    replica_state &state = work.state;
    if (state.isFormed() || state.log.lastIndex() != base::generation()
        || !isFirstByName(*state.settings))
        return;
    std::vector<configuration_member> members;
    for (const std::string &name : state.settings->peers) {
        const peer_presence *peer = freshPresence(state, base::nodeIdOf(name));
        if (name == state.settings->name)
            members.push_back(configuration_member {name, state.storage, true});
        else if (peer != nullptr && !peer->isFormed)
            members.push_back(configuration_member {name, peer->storage, true});
        else
            return;
    }
    const log_entry entry {base::generation(1), 0, entry_kind::configuration, base::clock_time(),
                           encodeConfiguration(configuration {std::move(members)})};
    state.log.append(entry);
    trackConfiguration(state, entry);
    work.actions.emplace_back(persist_entries {{entry}});
    state.electionDeadline = state.now;
}

void changeMembers(replica_work work)
{
    const leader_role *leader = work.roleAs<leader_role>();
    replica_state &state = work.state;
    // One change at a time, and none before an entry of the own term is committed: else two
    // leaders could hold configurations whose quorums do not overlap.
    if (leader == nullptr || state.commit < leader->firstOwn
        || state.configurations.back().index > state.commit)
        return;
    std::optional<configuration_member> change = nextJoiner(state);
    if (!change)
        change.emplace(nextVoter(state, *leader).value_or(configuration_member {}));
    if (change->name.empty())
        return;
    leadEntries(
        work,
        {proposal {entry_kind::configuration, encodeConfiguration(state.members().with(*change))}});
}

} // namespace lycheeshunt::replication::internal
