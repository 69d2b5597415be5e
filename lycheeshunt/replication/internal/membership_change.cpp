#include "lycheeshunt/replication/internal/membership_change.h"

#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/internal/election.h"
#include "lycheeshunt/replication/internal/leading.h"

#include <algorithm>
#include <set>

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

constexpr std::size_t maxContacts = 32;
// How long a control VM that others told of is greeted without a word from it.
constexpr base::clock_time contactValid = base::clock_time::ofSeconds(30);

bool isFirstSeed(const replica_settings &settings)
{
    return settings.mayBootstrap
        && std::all_of(settings.seeds.begin(), settings.seeds.end(),
                       [&](const base::endpoint &seed) { return settings.streams <= seed; })
        && std::find(settings.seeds.begin(), settings.seeds.end(), settings.streams)
        != settings.seeds.end();
}

// Members, and VMs that were heard lately: what is told to others as contacts.
std::set<base::endpoint> knownContacts(const replica_state &state)
{
    std::set<base::endpoint> known;
    if (state.isFormed()) {
        for (const configuration_member &member : state.members().members)
            known.insert(member.streams);
    }
    for (auto it = state.presences.begin(); it != state.presences.end(); ++it) {
        if (state.now - it->second.heardAt <= state.settings->timing.presenceValid)
            known.insert(it->second.streams);
    }
    known.erase(base::endpoint {});
    known.erase(state.settings->streams);
    return known;
}

void greetAll(replica_work work)
{
    replica_state &state = work.state;
    std::erase_if(state.contacts,
                  [&](const std::pair<const base::endpoint, base::clock_time> &row) {
                      return state.now - row.second > contactValid;
                  });
    const std::set<base::endpoint> known = knownContacts(state);
    std::set<base::endpoint> greeted = known;
    greeted.insert(state.settings->seeds.begin(), state.settings->seeds.end());
    for (auto it = state.contacts.begin(); it != state.contacts.end(); ++it)
        greeted.insert(it->first);
    greeted.erase(state.settings->streams);
    if (state.isFormed()) {
        for (const configuration_member &member : state.members().members)
            work.actions.emplace_back(set_peer_address {member.id().node, member.streams});
    }
    const presence own {state.isFormed(),
                        state.settings->api,
                        state.settings->name,
                        state.settings->streams,
                        {known.begin(), known.end()}};
    for (const base::endpoint &to : greeted)
        work.actions.emplace_back(send_to_address {to, peer_envelope {state.id(), {}, own}});
}

// The seeds as founders, once each has said that its disk is empty; nothing before.
std::optional<configuration> foundingSeeds(const replica_state &state)
{
    std::vector<configuration_member> members;
    for (const base::endpoint &seed : state.settings->seeds) {
        if (seed == state.settings->streams) {
            members.push_back(
                configuration_member {state.settings->name, state.storage, true, seed});
            continue;
        }
        const auto found = std::find_if(
            state.presences.begin(), state.presences.end(),
            [&](const std::pair<const base::node_id, peer_presence> &row) {
                return row.second.streams == seed && !row.second.isFormed
                    && state.now - row.second.heardAt <= state.settings->timing.presenceValid;
            });
        if (found == state.presences.end())
            return std::nullopt;
        members.push_back(
            configuration_member {found->second.name, found->second.storage, true, seed});
    }
    return configuration {std::move(members)};
}

std::optional<configuration> foundingPeers(const replica_state &state)
{
    std::vector<configuration_member> members;
    for (const std::string &name : state.settings->peers) {
        const peer_presence *peer = freshPresence(state, base::nodeIdOf(name));
        if (name == state.settings->name)
            members.push_back(configuration_member {name, state.storage, true});
        else if (peer != nullptr && !peer->isFormed)
            members.push_back(configuration_member {name, peer->storage, true});
        else
            return std::nullopt;
    }
    return configuration {std::move(members)};
}

// Any control VM that was heard lately and whose disk the configuration does not know.
std::optional<configuration_member> nextStranger(const replica_state &state)
{
    for (auto it = state.presences.begin(); it != state.presences.end(); ++it) {
        const peer_presence *peer = freshPresence(state, it->first);
        if (peer == nullptr || peer->name.empty())
            continue;
        const configuration_member *known = state.members().find(it->first);
        if (known == nullptr || known->storage != peer->storage)
            return configuration_member {peer->name, peer->storage, false, peer->streams};
    }
    return std::nullopt;
}

// A silent member that the others can do without: those that answer must be a quorum of the rest,
// and so many that no change is lost with the disks that may be.
std::optional<configuration> withoutSilent(const replica_state &state, const leader_role &leader)
{
    const replica_timing &timing = state.settings->timing;
    std::size_t answering = 1;
    const configuration_member *silent = nullptr;
    for (const configuration_member &member : state.members().members) {
        const auto progress = leader.progress.find(member.id().node);
        if (member.id() == state.id() || progress == leader.progress.end())
            continue;
        const base::clock_time silence = state.now - progress->second.lastHeard;
        answering += member.isVoter && silence < timing.electionMin ? 1 : 0;
        if (silence >= timing.removeAfter && freshPresence(state, member.id().node) == nullptr)
            silent = &member;
    }
    if (silent == nullptr)
        return std::nullopt;
    const configuration rest = state.members().without(silent->name);
    const std::size_t least = 2 * state.settings->toleratedLosses + 1;
    if (silent->isVoter && (answering < least || !rest.isQuorum(answering)))
        return std::nullopt;
    return rest;
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
            return configuration_member {member.name, member.storage, true, member.streams};
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
    replica_state &state = work.state;
    state.presences.erase(from.node);
    state.presences.emplace(from.node,
                            peer_presence {from.storage, message.isFormed, message.api, state.now,
                                           message.name, message.streams});
    hurryFirstElection(state);
    if (!state.settings->isOpen())
        return;
    work.actions.emplace_back(set_peer_address {from.node, message.streams});
    takeContacts(work, message.contacts);
}

void takeContacts(replica_work work, const std::vector<base::endpoint> &contacts)
{
    replica_state &state = work.state;
    for (const base::endpoint &contact : contacts) {
        if (state.contacts.size() < maxContacts || state.contacts.count(contact) > 0)
            state.contacts[contact] = state.now;
    }
}

void sendPresence(replica_work work)
{
    replica_state &state = work.state;
    if (state.now < state.nextPresence)
        return;
    state.nextPresence = state.now + work.timing().presenceEvery;
    if (state.settings->isOpen()) {
        greetAll(work);
        return;
    }
    for (const std::string &name : state.settings->peers) {
        if (name != state.settings->name)
            work.answer(replica_id {base::nodeIdOf(name), storage_id()},
                        presence {state.isFormed(), state.settings->api});
    }
}

void bootstrapCluster(replica_work work)
{
    replica_state &state = work.state;
    const bool isOpen = state.settings->isOpen();
    const bool isFounder = isOpen ? isFirstSeed(*state.settings) : isFirstByName(*state.settings);
    if (state.isFormed() || state.log.lastIndex() != base::generation() || !isFounder)
        return;
    const std::optional<configuration> founders
        = isOpen ? foundingSeeds(state) : foundingPeers(state);
    if (!founders)
        return;
    const log_entry entry {base::generation(1), 0, entry_kind::configuration, base::clock_time(),
                           encodeConfiguration(*founders)};
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
    std::optional<configuration_member> change
        = state.settings->isOpen() ? nextStranger(state) : nextJoiner(state);
    if (!change)
        change.emplace(nextVoter(state, *leader).value_or(configuration_member {}));
    if (!change->name.empty()) {
        leadEntries(work,
                    {proposal {entry_kind::configuration,
                               encodeConfiguration(state.members().with(*change))}});
        return;
    }
    const std::optional<configuration> rest
        = state.settings->isOpen() ? withoutSilent(state, *leader) : std::nullopt;
    if (rest)
        leadEntries(work, {proposal {entry_kind::configuration, encodeConfiguration(*rest)}});
}

} // namespace lycheeshunt::replication::internal
