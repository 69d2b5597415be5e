// A control process: the replicated log and the duties that live by it, joined by rings.
//
// Committed entries are pushed (and waited for) from the replication thread to the others; what
// goes the other way is offered with tryPush, so that no two threads wait for each other.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/metrics/report.h"
#include "lycheeshunt/settings/node_settings.h"
#include "lycheeshunt/streams/stream_event.h"

#include <memory>

namespace lycheeshunt::dissemination {
class publisher_duty;
}

namespace lycheeshunt::membership {
class membership_duty;
}

namespace lycheeshunt::operators {
class api_server;
class operator_duty;
} // namespace lycheeshunt::operators

namespace lycheeshunt::replication {
class replication_duty;
struct log_entry;
} // namespace lycheeshunt::replication

namespace lycheeshunt::streams {
class stream_server;
}

namespace lycheeshunt::tickets {
class ticket_duty;
}

namespace lycheeshunt::daemon {

class control_process
{
public:
    static base::result<std::unique_ptr<control_process>>
    start(const settings::node_settings &settings, const settings::control_settings &own);
    ~control_process();

    control_process(const control_process &) = delete;
    control_process &operator=(const control_process &) = delete;

    // What the process counts. Thread-safe.
    metrics::report metrics() const;

private:
    control_process();

    void startDuties();
    void startOperators(const std::string &token);
    void takeCommitted(const replication::log_entry &entry);
    void takeStreamEvent(const streams::stream_event &event);
    void takeFrame(const streams::stream_frame &frame);
    void takeMemberFrame(const streams::stream_frame &frame);

    std::unique_ptr<tickets::ticket_duty> m_tickets;
    std::unique_ptr<membership::membership_duty> m_membership;
    std::unique_ptr<dissemination::publisher_duty> m_publisher;
    std::unique_ptr<operators::operator_duty> m_operators;
    std::unique_ptr<replication::replication_duty> m_replication;
    std::unique_ptr<streams::stream_server> m_streams;
    std::unique_ptr<operators::api_server> m_api;
};

} // namespace lycheeshunt::daemon
