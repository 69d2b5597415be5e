#include "lycheeshunt/daemon/control_process.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/daemon/internal/control_log.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/publisher_duty.h"
#include "lycheeshunt/dissemination/state_applied.h"
#include "lycheeshunt/http/pending_calls.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_duty.h"
#include "lycheeshunt/metrics/ring_sample.h"
#include "lycheeshunt/operators/api_server.h"
#include "lycheeshunt/operators/operator_duty.h"
#include "lycheeshunt/operators/token_file.h"
#include "lycheeshunt/replication/peer_links.h"
#include "lycheeshunt/replication/replication_duty.h"
#include "lycheeshunt/states/state_duty.h"
#include "lycheeshunt/streams/stream_server.h"
#include "lycheeshunt/tickets/codec.h"
#include "lycheeshunt/tickets/ticket_duty.h"

#include <random>

namespace lycheeshunt::daemon {

namespace {

std::uint64_t randomNumber()
{
    std::random_device source;
    constexpr int halfBits = 32;
    return (static_cast<std::uint64_t>(source()) << halfBits) | source();
}

base::result<replication::replica_storage> openStorage(const std::string &folder)
{
    base::result<replication::disk_files> files = replication::disk_files::open(folder);
    if (const base::error *failure = base::errorOf(files))
        return *failure;
    return replication::replica_storage::open(base::takeValue(std::move(files)),
                                              replication::storage_id(randomNumber()));
}

// The error that a control VM that does not lead returns to operators.
std::optional<base::error> leadershipError(const replication::leadership &leadership)
{
    if (leadership.isLeader)
        return std::nullopt;
    if (leadership.leaderName.empty())
        return base::error {base::error_code::quorumLost, "no leader is known"};
    return base::error {base::error_code::notLeader, leadership.leaderText()};
}

} // namespace

base::result<std::unique_ptr<control_process>>
control_process::start(const settings::node_settings &settings,
                       const settings::control_settings &own, state_sink answers,
                       order_sink orderAnswers)
{
    std::string token;
    if (!own.tokenFile.empty()) {
        const base::result<std::string> read = operators::readToken(own.tokenFile);
        if (const base::error *failure = base::errorOf(read))
            return *failure;
        token = base::valueOf(read);
    }
    base::result<replication::replica_storage> storage = openStorage(own.dataFolder);
    if (const base::error *failure = base::errorOf(storage))
        return *failure;
    std::unique_ptr<control_process> process(new control_process());
    control_process *raw = process.get();
    process->m_stateAnswers = std::move(answers);
    process->m_orderAnswers = std::move(orderAnswers);
    process->startDuties();
    process->m_log = std::make_unique<internal::committed_log>(
        internal::log_followers {*process->m_tickets, *process->m_states, *process->m_membership,
                                 *process->m_publisher, *process->m_evacuations});
    process->startOperators(token);
    process->startReplication(settings, own, base::takeValue(std::move(storage)));
    base::result<std::unique_ptr<streams::stream_server>> streams = streams::stream_server::listen(
        own.streams, streams::stream_timing {},
        [raw](const streams::stream_event &event) { raw->handleStreamEvent(event); });
    if (const base::error *failure = base::errorOf(streams))
        return *failure;
    process->m_streams = base::takeValue(std::move(streams));
    process->m_started.count_down();
    base::result<std::unique_ptr<operators::api_server>> api
        = operators::api_server::open(own.api, process->m_calls, process->m_operators->inbox());
    if (const base::error *failure = base::errorOf(api))
        return *failure;
    process->m_api = base::takeValue(std::move(api));
    return process;
}

control_process::control_process() : m_calls(std::make_shared<http::pending_calls>()) { }

// The threads end before anything that they use is destroyed.
control_process::~control_process()
{
    if (m_replication)
        m_replication->stop();
    m_operators->stop();
    m_publisher->stop();
    m_membership->stop();
    m_states->stop();
    m_evacuations->stop();
    m_tickets->stop();
}

void control_process::startDuties()
{
    m_tickets = std::make_unique<tickets::ticket_duty>([this](
                                                           const tickets::ticket_action &action) {
        return std::visit(
            base::overloaded {
                [this](const tickets::propose_ticket &proposed) {
                    return propose(replication::entry_kind::ticket,
                                   tickets::encodeTicket(proposed.ticket), proposed.token);
                },
                [this](const tickets::ticket_answer &answer) {
                    return m_operators->inbox().tryPush(answer);
                },
                [this](const tickets::apply_ticket &valid) {
                    return m_publisher->inbox().push(
                        dissemination::ticket_applied {valid.record.at, valid.record.ticket});
                },
                [this](const tickets::other_committed &other) { return m_log->apply(other); },
                [this](const tickets::other_read_outcome &read) { return m_log->apply(read); },
                [this](const tickets::other_caught_up &caughtUp) { return m_log->apply(caughtUp); },
                [this](const tickets::confirm_read &read) {
                    return m_replication->inbox().tryPush(replication::read_request {read.request});
                },
            },
            action);
    });
    m_states = std::make_unique<states::state_duty>(
        [this](const states::state_action &action) { return carryOutState(action); });
    m_evacuations = std::make_unique<evacuations::evacuation_duty>(
        [this](const evacuations::evacuation_action &action) {
            return carryOutEvacuation(action);
        });
    m_membership = std::make_unique<membership::membership_duty>(
        [this](const membership::membership_action &action) {
            std::visit(base::overloaded {
                           [this](const membership::propose_batch &proposed) {
                               propose(replication::entry_kind::membership,
                                       membership::encodeBatch(proposed.batch), 0);
                           },
                           [](const membership::report_conflict &clash) {
                               base::logWarning("membership",
                                                clash.loser.name
                                                    + " is ignored: " + clash.winner.name
                                                    + " holds " + clash.winner.packets.text());
                           },
                       },
                       action);
        });
    m_publisher = std::make_unique<dissemination::publisher_duty>(
        [this](const dissemination::dissemination_action &action) {
            std::visit(base::overloaded {
                           [this](const dissemination::send_to_nodes &send) { sendView(send); },
                           [this](const dissemination::send_piece &send) { sendPiece(send); },
                           [this](const dissemination::in_force_answer &answer) {
                               m_operators->inbox().tryPush(answer);
                           },
                       },
                       action);
        });
}

void control_process::sendView(const dissemination::send_to_nodes &send)
{
    m_pieces.prune();
    const std::string bytes = dissemination::encodeControlMessage(send.message);
    for (const streams::connection_id &connection : send.connections)
        m_streams->outgoing().tryPush(
            streams::stream_frame {connection, streams::channel::dissemination, bytes});
}

void control_process::sendPiece(const dissemination::send_piece &send)
{
    const std::string bytes = m_pieces.encode(send);
    for (const streams::connection_id &connection : send.connections)
        m_streams->outgoing().tryPush(
            streams::stream_frame {connection, streams::channel::dissemination, bytes});
}

void control_process::startOperators(const std::string &token)
{
    m_operators = std::make_unique<operators::operator_duty>(
        token, [this](const operators::operator_action &action) {
            std::visit(
                base::overloaded {
                    [this](const tickets::submit_ticket &submit) {
                        m_tickets->inbox().push(submit);
                    },
                    [this](const tickets::get_ticket &show) { m_tickets->inbox().push(show); },
                    [this](const dissemination::in_force_query &query) {
                        m_publisher->inbox().push(query);
                    },
                    [this](const evacuations::submit_order &submit) { submitForOperators(submit); },
                    [this](const operators::http_reply &reply) { m_calls->answer(reply); },
                },
                action);
        });
}

void control_process::startReplication(const settings::node_settings &settings,
                                       const settings::control_settings &own,
                                       replication::replica_storage storage)
{
    const std::string &name = settings.name;
    std::vector<std::string> names;
    for (const replication::control_peer &peer : own.peers)
        names.push_back(peer.name);
    const std::vector<base::endpoint> seeds
        = own.isOpenGroup ? settings.control : std::vector<base::endpoint>();
    m_links = std::make_unique<replication::peer_links>(streams::stream_timing {}, randomNumber());
    for (const replication::control_peer &peer : own.peers) {
        if (peer.name != name && !own.isOpenGroup)
            m_links->setAddress(
                replication::set_peer_address {base::nodeIdOf(peer.name), peer.streams});
    }
    replication::replica_state state
        = replication::startReplica(std::make_shared<const replication::replica_settings>(
                                        replication::replica_settings {name,
                                                                       std::move(names),
                                                                       own.states.value_or(own.api),
                                                                       {},
                                                                       {},
                                                                       own.streams,
                                                                       seeds,
                                                                       own.mayBootstrap,
                                                                       own.toleratedLosses}),
                                    storage.recovered(), static_cast<std::uint32_t>(randomNumber()),
                                    base::clock_time::steady());
    if (const std::uint64_t torn = storage.recovered().tornBytes)
        base::logWarning("replication", "cut " + std::to_string(torn) + " bytes of torn tail");
    storage.releaseRecovered();
    if (state.isFormed())
        m_members = std::make_shared<const replication::configuration>(state.members());
    m_replication = std::make_unique<replication::replication_duty>(
        std::move(state), std::move(storage),
        replication::replication_hooks {
            [this](const replication::peer_envelope &envelope) { m_links->send(envelope); },
            [this](const replication::send_to_address &greeting) {
                m_links->sendToAddress(greeting);
            },
            [this](const replication::set_peer_address &located) { m_links->setAddress(located); },
            [this](const replication::replication_notice &notice) { handleNotice(notice); },
            [this](const std::vector<replication::log_entry> &entries) {
                return m_log->compact(entries);
            },
            [folder = own.dataFolder]() { return openStorage(folder); }});
}

bool control_process::propose(replication::entry_kind kind, std::string payload,
                              std::uint64_t token)
{
    return m_replication->inbox().tryPush(replication::propose_entries {
        {replication::proposal {kind, std::move(payload), token, base::clock_time::wall()}}});
}

void control_process::handleNotice(const replication::replication_notice &notice)
{
    std::visit(
        base::overloaded {
            [this](const replication::commit_entries &committed) {
                m_log->deliver(committed.entries);
                if (!committed.entries.empty())
                    updateCatchUp(m_catchUp.withCommit(committed.entries.back().term));
            },
            [this](const replication::state_restored &restored) { m_log->restore(restored); },
            [this](const replication::leadership_changed &changed) {
                const replication::leadership &leadership = changed.leadership;
                // Sent before the messages of nodes. All leases restart when a leadership begins,
                // which would undo the announcements that this VM held.
                m_membership->inbox().push(membership::leadership_changed {leadership.isLeader});
                if (leadership.isLeader)
                    m_publisher->inbox().push(dissemination::leadership_began {leadership.term});
                m_isLeading = leadership.isLeader;
                updateCatchUp(m_catchUp.withLeadership(leadership.isLeader ? leadership.term : 0));
                publishLeadership(changed.leadership);
                m_tickets->inbox().push(
                    tickets::leadership_update {leadershipError(changed.leadership)});
            },
            [this](const replication::members_changed &changed) {
                internal::logMembers(changed.configuration);
                m_members
                    = std::make_shared<const replication::configuration>(changed.configuration);
                if (m_leadership)
                    m_directory.set(*m_members, *m_leadership);
            },
            [this](const replication::proposal_refused &refused) {
                if (refused.kind == replication::entry_kind::state)
                    m_states->inbox().push(
                        states::state_proposal_rejected {refused.token, refused.reason});
                if (refused.kind == replication::entry_kind::evacuation)
                    m_evacuations->inbox().push(
                        evacuations::proposal_rejected {refused.token, refused.reason});
                if (refused.kind == replication::entry_kind::ticket)
                    m_tickets->inbox().push(
                        tickets::proposal_rejected {refused.token, refused.reason});
            },
            [this](const replication::read_confirmed &read) {
                completeRead(read.request, std::nullopt);
            },
            [this](const replication::read_refused &read) {
                completeRead(read.request, read.reason);
            },
        },
        notice);
}

void control_process::publishLeadership(const replication::leadership &leadership)
{
    m_leadership = std::make_shared<const replication::leadership>(leadership);
    m_states->inbox().push(states::leadership_update {leadership.isLeader, leadership.leaderApi});
    m_evacuations->inbox().push(
        evacuations::leadership_update {leadership.isLeader, leadership.leaderApi});
    if (m_members)
        m_directory.set(*m_members, leadership);
    if (!leadership.leaderName.empty())
        releaseNodes();
}

void control_process::updateCatchUp(const internal::leader_catch_up &next)
{
    m_catchUp = next;
    if (!m_catchUp.isComplete())
        return;
    m_log->completeCatchUp(m_catchUp.awaited);
    m_catchUp = m_catchUp.withLeadership(0);
}

void control_process::useControl(const std::vector<base::endpoint> &seeds)
{
    m_replication->inbox().tryPush(replication::contacts_changed {seeds});
}

metrics::report control_process::metrics() const
{
    std::vector<metrics::sample> samples;
    metrics::addRing(samples, "tickets", m_tickets->inbox());
    metrics::addRing(samples, "membership", m_membership->inbox());
    metrics::addRing(samples, "dissemination", m_publisher->inbox());
    metrics::addRing(samples, "operators", m_operators->inbox());
    metrics::addRing(samples, "streams", m_streams->outgoing());
    for (const metrics::sample &counted : m_publisher->samples())
        samples.push_back(counted);
    samples.push_back(m_states->answerTimes());
    samples.push_back(m_evacuations->evacuatedZones());
    samples.push_back(m_replication->storageWrites());
    return metrics::report {"control", std::move(samples)};
}

} // namespace lycheeshunt::daemon
