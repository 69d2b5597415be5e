#include "lycheeshunt/dissemination/follower.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/follower_decision.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/streams/stream_client.h"

#include <algorithm>

namespace lycheeshunt::dissemination {

namespace {
constexpr std::size_t inboxCapacity = 256;
constexpr base::clock_time tickInterval = base::clock_time::ofMillis(250);
constexpr const char *logPart = "dissemination";

void logView(const cluster_view &view)
{
    base::logEvent(logPart, "view",
                   {{"generation", std::to_string(view.at.value())},
                    {"members", std::to_string(view.members.size())},
                    {"routes", std::to_string(view.routes.size())},
                    {"evacuated_zones", std::to_string(view.evacuated.size())}});
}

} // namespace

follower::follower(std::vector<base::endpoint> control, const membership::member &self,
                   std::uint64_t seed, view_sink sink, incarnation_sink incarnationSink,
                   bool isAnnounced)
    : m_state(makeFollowerState(self, isAnnounced)), m_seeds(control), m_sink(std::move(sink)),
      m_incarnationSink(std::move(incarnationSink)), m_started(1),
      m_duty(
          inboxCapacity, tickInterval, follower_tick {},
          [this](const follower_message &message, base::clock_time now) { handle(message, now); })
{
    m_client = std::make_unique<streams::stream_client>(
        std::move(control), streams::stream_timing {}, seed,
        [this](const streams::stream_event &event) { handleEvent(event); });
    m_started.count_down();
}

follower::~follower()
{
    m_duty.stop();
    sendLeave();
    m_client.reset();
}

void follower::sendLeave()
{
    const bool isExpectedBack = m_state.self->phase == membership::member_phase::draining;
    if (!m_state.connection || !m_state.isAnnounced || isExpectedBack)
        return;
    const membership::member_left left {m_state.self->id(), m_state.self->incarnation};
    m_client->outgoing().tryPush(streams::stream_frame {
        *m_state.connection, streams::channel::membership, membership::encodeLeave(left)});
}

// The seeds stay in the list, as all servers of the directory may have been replaced.
void follower::useServers(std::vector<base::endpoint> servers, bool isLeaderFirst)
{
    const std::lock_guard<std::mutex> lock(m_seedsLock);
    std::vector<base::endpoint>(servers).swap(m_directoryServers);
    for (const base::endpoint &seed : m_seeds) {
        if (std::find(servers.begin(), servers.end(), seed) == servers.end())
            servers.push_back(seed);
    }
    m_client->useServers(std::move(servers), isLeaderFirst);
}

void follower::addSeeds(const std::vector<base::endpoint> &seeds)
{
    std::vector<base::endpoint> servers;
    {
        const std::lock_guard<std::mutex> lock(m_seedsLock);
        std::vector<base::endpoint>(seeds).swap(m_seeds);
        std::vector<base::endpoint>(m_directoryServers).swap(servers);
    }
    useServers(std::move(servers), false);
}

void follower::handle(const follower_message &message, base::clock_time now)
{
    base::step<follower_state, follower_action> next = decide(std::move(m_state), message, now);
    m_state = std::move(next.state);
    base::reportFault(logPart, next.fault);
    for (const follower_action &action : next.actions)
        carryOut(action);
}

void follower::carryOut(const follower_action &action)
{
    std::visit(base::overloaded {
                   [this](const send_to_control &send) {
                       m_client->outgoing().tryPush(
                           streams::stream_frame {send.connection, streams::channel::dissemination,
                                                  encodeNodeMessage(send.message)});
                   },
                   [this](const announce_self &announce) {
                       m_client->outgoing().tryPush(
                           streams::stream_frame {announce.connection, streams::channel::membership,
                                                  membership::encodeMember(announce.self)});
                   },
                   [this](const leave_group &leave) {
                       m_client->outgoing().tryPush(
                           streams::stream_frame {leave.connection, streams::channel::membership,
                                                  membership::encodeLeave(leave.left)});
                   },
                   [this](const adopt_view &adopt) {
                       logView(*adopt.view);
                       m_sink(adopt.view);
                   },
                   [this](const use_servers &use) { useServers(use.servers, use.isLeaderFirst); },
                   [this](const report_incarnation &report) {
                       base::logWarning(logPart,
                                        "the clock was set back: taking incarnation "
                                            + std::to_string(report.incarnation.value()));
                       if (m_incarnationSink)
                           m_incarnationSink(report.incarnation);
                   },
                   [](const report_mismatch &report) {
                       const base::error failure {base::error_code::viewMismatch,
                                                  "generation "
                                                      + std::to_string(report.at.value())};
                       base::logWarning(logPart, failure.text());
                   },
               },
               action);
}

void follower::handleEvent(const streams::stream_event &event)
{
    m_started.wait();
    std::visit(
        base::overloaded {
            [this](const streams::stream_opened &opened) {
                m_isConnected = true;
                base::logInfo(logPart, "connected to control");
                m_duty.inbox().push(link_opened {opened.connection});
            },
            [this](const streams::stream_closed &closed) {
                m_isConnected = false;
                base::logWarning(logPart, "lost the connection to control");
                m_duty.inbox().push(link_closed {closed.connection});
            },
            [this](const streams::stream_frame &frame) {
                if (frame.channel != streams::channel::dissemination)
                    return;
                const base::result<control_message> message = decodeControlMessage(frame.bytes);
                if (const base::error *failure = base::errorOf(message))
                    base::logWarning(logPart, "message from control refused: " + failure->text());
                else
                    m_duty.inbox().push(control_message_received {base::valueOf(message)});
            },
        },
        event);
}

} // namespace lycheeshunt::dissemination
