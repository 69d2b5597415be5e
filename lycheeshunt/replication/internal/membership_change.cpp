#include "lycheeshunt/replication/internal/membership_change.h"

#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/internal/election.h"
#include "lycheeshunt/replication/internal/leader.h"

#include <algorithm>
#include <set>

namespace lycheeshunt::replication::internal {

namespace {

const peer_presence *freshPresence(const replica_state &state, base::node_id node)
{
    const auto found = state.presences.find(node);
    const bool isFresh = found != state.presences.end()
        && state.now - found->second.lastHeard <= state.settings->timing.presenceTimeout;
    return isFresh ? &found->second : nullptr;
}

bool isFirstByName(const replica_settings &settings)
{
    return std::all_of(settings.peers.begin(), settings.peers.end(),
                       [&](const std::string &peer) { return settings.name <= peer; });
}

constexpr std::size_t maxContacts = 32;
// Contacts that have not been mentioned for this long are dropped.
constexpr base::clock_time contactTimeout = base::clock_time::ofSeconds(30);

bool isFirstSeed(const replica_settings &settings)
{
    return settings.mayBootstrap
        && std::all_of(settings.seeds.begin(), settings.seeds.end(),
                       [&](const base::endpoint &seed) { return settings.streams <= seed; })
        && std::find(settings.seeds.begin(), settings.seeds.end(), settings.streams)
        != settings.seeds.end();
}

// Addresses of members and of VMs heard from recently, announced to others as contacts.
std::set<base::endpoint> knownContacts(const replica_state &state)
{
    std::set<base::endpoint> contacts;
    if (state.isFormed()) {
        for (const configuration_member &member : state.members().members)
            contacts.insert(member.streams);
    }
    for (auto it = state.presences.begin(); it != state.presences.end(); ++it) {
        if (state.now - it->second.lastHeard <= state.settings->timing.presenceTimeout)
            contacts.insert(it->second.streams);
    }
    contacts.erase(base::endpoint {});
    contacts.erase(state.settings->streams);
    return contacts;
}

void announceToContacts(replica_context context)
{
    replica_state &state = context.state;
    std::erase_if(state.contacts,
                  [&](const std::pair<const base::endpoint, base::clock_time> &row) {
                      return state.now - row.second > contactTimeout;
                  });
    const std::set<base::endpoint> contacts = knownContacts(state);
    std::set<base::endpoint> targets = contacts;
    targets.insert(state.settings->seeds.begin(), state.settings->seeds.end());
    for (auto it = state.contacts.begin(); it != state.contacts.end(); ++it)
        targets.insert(it->first);
    targets.erase(state.settings->streams);
    if (state.isFormed()) {
        for (const configuration_member &member : state.members().members)
            context.actions.emplace_back(set_peer_address {member.id().node, member.streams});
    }
    const presence own {state.isFormed(),
                        state.settings->api,
                        state.settings->name,
                        state.settings->streams,
                        {contacts.begin(), contacts.end()}};
    for (const base::endpoint &to : targets)
        context.actions.emplace_back(send_to_address {to, peer_envelope {state.id(), {}, own}});
}

// All seeds as voters, once each of the others has announced an empty disk; empty until then.
std::optional<configuration> bootstrapMembersFromSeeds(const replica_state &state)
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
                    && state.now - row.second.lastHeard <= state.settings->timing.presenceTimeout;
            });
        if (found == state.presences.end())
            return std::nullopt;
        members.push_back(
            configuration_member {found->second.name, found->second.storage, true, seed});
    }
    return configuration {std::move(members)};
}

std::optional<configuration> bootstrapMembersFromPeers(const replica_state &state)
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

// A control VM that was heard from recently and whose disk is not in the configuration.
std::optional<configuration_member> nextUnknownMember(const replica_state &state)
{
    for (auto it = state.presences.begin(); it != state.presences.end(); ++it) {
        const peer_presence *peer = freshPresence(state, it->first);
        if (peer == nullptr || peer->name.empty())
            continue;
        const configuration_member *current = state.members().find(it->first);
        if (current == nullptr || current->storage != peer->storage)
            return configuration_member {peer->name, peer->storage, false, peer->streams};
    }
    return std::nullopt;
}

// The configuration without one unresponsive member. To remove a voter, the responding voters must
// be a quorum of the rest and number at least 2 * toleratedLosses + 1, so that no committed entry
// is lost with that many disks.
std::optional<configuration> withoutUnresponsiveMember(const replica_state &state,
                                                       const leader_role &leader)
{
    const replica_timing &timing = state.settings->timing;
    std::size_t responding = 1;
    const configuration_member *silent = nullptr;
    for (const configuration_member &member : state.members().members) {
        const auto progress = leader.progress.find(member.id().node);
        if (member.id() == state.id() || progress == leader.progress.end())
            continue;
        const base::clock_time silence = state.now - progress->second.lastHeard;
        responding += member.isVoter && silence < timing.electionMin ? 1 : 0;
        if (silence >= timing.removalTimeout && freshPresence(state, member.id().node) == nullptr)
            silent = &member;
    }
    if (silent == nullptr)
        return std::nullopt;
    const configuration rest = state.members().without(silent->name);
    const std::size_t minResponding = 2 * state.settings->toleratedLosses + 1;
    if (silent->isVoter && (responding < minResponding || !rest.isQuorum(responding)))
        return std::nullopt;
    return rest;
}

// A VM listed in the settings whose disk is not in the configuration.
std::optional<configuration_member> nextListedMember(const replica_state &state)
{
    for (const std::string &name : state.settings->peers) {
        const peer_presence *peer = freshPresence(state, base::nodeIdOf(name));
        if (peer == nullptr)
            continue;
        const configuration_member *current = state.members().find(base::nodeIdOf(name));
        if (current == nullptr || current->storage != peer->storage)
            return configuration_member {name, peer->storage, false};
    }
    return std::nullopt;
}

// A non-voter that has synced all committed entries.
std::optional<configuration_member> nextPromotableMember(const replica_state &state,
                                                         const leader_role &leader)
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

void addConfiguration(replica_state &state, const log_entry &entry)
{
    if (entry.kind != entry_kind::configuration)
        return;
    const base::result<configuration> members = decodeConfiguration(entry.payload);
    if (const configuration *decoded = std::get_if<configuration>(&members))
        state.configurations.push_back(indexed_configuration {entry.index, *decoded});
}

void removeConfigurationsFrom(replica_state &state, base::generation from)
{
    while (!state.configurations.empty() && state.configurations.back().index >= from)
        state.configurations.pop_back();
}

void handlePresence(replica_context context, const replica_id &from, const presence &message)
{
    replica_state &state = context.state;
    const bool isRepeated = freshPresence(state, from.node) != nullptr;
    state.presences.erase(from.node);
    state.presences.emplace(from.node,
                            peer_presence {from.storage, message.isFormed, message.api, state.now,
                                           message.name, message.streams});
    // Shorter with each repetition, the timeouts of several VMs would end at the same time and
    // split the vote.
    if (!isRepeated)
        shortenFirstElectionTimeout(state);
    if (!state.settings->isOpen()) {
        greetReturningMember(context, from);
        return;
    }
    context.actions.emplace_back(set_peer_address {from.node, message.streams});
    addContacts(context, message.contacts);
    greetReturningMember(context, from);
}

void addContacts(replica_context context, const std::vector<base::endpoint> &contacts)
{
    replica_state &state = context.state;
    for (const base::endpoint &contact : contacts) {
        if (state.contacts.size() < maxContacts || state.contacts.count(contact) > 0)
            state.contacts[contact] = state.now;
    }
}

void announcePresence(replica_context context)
{
    replica_state &state = context.state;
    if (state.now < state.nextPresence)
        return;
    state.nextPresence = state.now
        + (isInFirstElection(state) ? context.timing().firstPresenceInterval
                                    : context.timing().presenceInterval);
    if (state.settings->isOpen()) {
        announceToContacts(context);
        return;
    }
    for (const std::string &name : state.settings->peers) {
        if (name != state.settings->name)
            context.sendTo(replica_id {base::nodeIdOf(name), storage_id()},
                           presence {state.isFormed(), state.settings->api});
    }
}

void bootstrapCluster(replica_context context)
{
    replica_state &state = context.state;
    const bool isOpen = state.settings->isOpen();
    const bool isBootstrapVm
        = isOpen ? isFirstSeed(*state.settings) : isFirstByName(*state.settings);
    if (state.isFormed() || state.log.lastIndex() != base::generation() || !isBootstrapVm)
        return;
    const std::optional<configuration> initialMembers
        = isOpen ? bootstrapMembersFromSeeds(state) : bootstrapMembersFromPeers(state);
    if (!initialMembers)
        return;
    const log_entry entry {base::generation(1), 0, entry_kind::configuration, base::clock_time(),
                           encodeConfiguration(*initialMembers)};
    state.log.append(entry);
    addConfiguration(state, entry);
    context.actions.emplace_back(persist_entries {{entry}});
    state.electionDeadline = state.now;
}

void proposeMembershipChange(replica_context context)
{
    const leader_role *leader = context.roleAs<leader_role>();
    replica_state &state = context.state;
    // One change at a time, and none before an entry of the leader's own term is committed.
    // Otherwise two leaders could use configurations whose quorums do not overlap.
    if (leader == nullptr || state.commit < leader->firstIndexOfTerm
        || state.configurations.back().index > state.commit)
        return;
    std::optional<configuration_member> change
        = state.settings->isOpen() ? nextUnknownMember(state) : nextListedMember(state);
    if (!change)
        change.emplace(nextPromotableMember(state, *leader).value_or(configuration_member {}));
    if (!change->name.empty()) {
        appendAndReplicate(context,
                           {proposal {entry_kind::configuration,
                                      encodeConfiguration(state.members().with(*change))}});
        return;
    }
    const std::optional<configuration> rest
        = state.settings->isOpen() ? withoutUnresponsiveMember(state, *leader) : std::nullopt;
    if (rest)
        appendAndReplicate(context,
                           {proposal {entry_kind::configuration, encodeConfiguration(*rest)}});
}

} // namespace lycheeshunt::replication::internal
