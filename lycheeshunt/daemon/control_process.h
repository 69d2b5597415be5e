// A control process: the replicated log and the duties that apply it, joined by rings.
//
// The replication thread pushes committed entries to the other threads and blocks while a ring is
// full; messages in the other direction use tryPush, so that no two threads wait for each other.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/base/result.h"
#include "lycheeshunt/daemon/internal/committed_log.h"
#include "lycheeshunt/daemon/internal/leader_catch_up.h"
#include "lycheeshunt/daemon/internal/node_directory.h"
#include "lycheeshunt/dissemination/piece_encoder.h"
#include "lycheeshunt/evacuations/evacuation_duty.h"
#include "lycheeshunt/metrics/report.h"
#include "lycheeshunt/replication/replication_notice.h"
#include "lycheeshunt/settings/node_settings.h"
#include "lycheeshunt/states/state_duty.h"
#include "lycheeshunt/streams/stream_event.h"

#include <atomic>
#include <functional>
#include <latch>
#include <memory>
#include <mutex>
#include <vector>

namespace lycheeshunt::dissemination {
class publisher_duty;
struct send_piece;
struct send_to_nodes;
} // namespace lycheeshunt::dissemination

namespace lycheeshunt::http {
class pending_calls;
}

namespace lycheeshunt::membership {
class membership_duty;
}

namespace lycheeshunt::operators {
class api_server;
class operator_duty;
} // namespace lycheeshunt::operators

namespace lycheeshunt::replication {
struct configuration;
class peer_links;
class replica_storage;
class replication_duty;
} // namespace lycheeshunt::replication

namespace lycheeshunt::streams {
class stream_server;
}

namespace lycheeshunt::tickets {
class ticket_duty;
} // namespace lycheeshunt::tickets

namespace lycheeshunt::daemon {

class control_process
{
public:
    // Receives the outcomes of requests for desired states; called on the state thread.
    using state_sink = std::function<void(const states::state_answer &)>;
    // Receives the outcomes of evacuation orders; called on the evacuation thread.
    using order_sink = std::function<void(const evacuations::order_answer &)>;

    static base::result<std::unique_ptr<control_process>>
    start(const settings::node_settings &settings, const settings::control_settings &own,
          state_sink answers = {}, order_sink orderAnswers = {});
    ~control_process();

    control_process(const control_process &) = delete;
    control_process &operator=(const control_process &) = delete;

    // Adds addresses of control VMs to contact. Thread-safe.
    void useControl(const std::vector<base::endpoint> &seeds);
    // The process's metrics. Thread-safe.
    metrics::report metrics() const;

    // Receives submit_state and get_state from an operators' front end.
    base::ring<states::state_message> &states() { return m_states->inbox(); }
    // Receives submit_order from an operators' front end.
    base::ring<evacuations::evacuation_message> &evacuations() { return m_evacuations->inbox(); }

private:
    control_process();

    bool carryOutState(const states::state_action &action);
    bool carryOutEvacuation(const evacuations::evacuation_action &action);
    void submitForOperators(const evacuations::submit_order &submit);
    bool answerOrder(const evacuations::order_answer &answer);
    void publishLeadership(const replication::leadership &leadership);
    void updateCatchUp(const internal::leader_catch_up &next);
    void sendView(const dissemination::send_to_nodes &send);
    void sendPiece(const dissemination::send_piece &send);
    void sendDirectory(streams::connection_id connection);
    void redirectNode(streams::connection_id connection);
    void releaseNodes();
    void startDuties();
    void startOperators(const std::string &token);
    void startReplication(const settings::node_settings &settings,
                          const settings::control_settings &own,
                          replication::replica_storage storage);
    // Returns false when the ring of replication is full.
    bool propose(replication::entry_kind kind, std::string payload, std::uint64_t token);
    void handleNotice(const replication::replication_notice &notice);
    void completeRead(base::request_id request, const std::optional<base::error> &failure);
    void handleStreamEvent(const streams::stream_event &event);
    void handleFrame(const streams::stream_frame &frame);
    void handleMemberFrame(const streams::stream_frame &frame);

    std::atomic<bool> m_isLeading = false;
    // Blocks the stream thread until m_streams is set.
    std::latch m_started {1};
    // The operators' requests that m_api has received.
    const std::shared_ptr<http::pending_calls> m_calls;
    std::unique_ptr<tickets::ticket_duty> m_tickets;
    std::unique_ptr<states::state_duty> m_states;
    state_sink m_stateAnswers;
    std::unique_ptr<evacuations::evacuation_duty> m_evacuations;
    order_sink m_orderAnswers;
    std::unique_ptr<membership::membership_duty> m_membership;
    // Accessed by the dissemination thread only.
    dissemination::piece_encoder m_pieces;
    std::unique_ptr<dissemination::publisher_duty> m_publisher;
    std::unique_ptr<operators::operator_duty> m_operators;
    const base::clock_time m_startedAt = base::clock_time::steady();
    internal::node_directory m_directory;
    // The end of a node's stream is reported after the messages that were kept of it.
    std::mutex m_releaseLock;
    // Accessed by the replication thread only.
    std::shared_ptr<const replication::configuration> m_members;
    std::shared_ptr<const replication::leadership> m_leadership;
    internal::leader_catch_up m_catchUp;
    std::unique_ptr<internal::committed_log> m_log;
    std::unique_ptr<replication::peer_links> m_links;
    std::unique_ptr<replication::replication_duty> m_replication;
    std::unique_ptr<streams::stream_server> m_streams;
    std::unique_ptr<operators::api_server> m_api;
};

} // namespace lycheeshunt::daemon
