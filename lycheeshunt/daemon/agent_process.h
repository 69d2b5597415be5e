// An agent: a packet thread, a flow thread, and a follower that keeps its view new.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/metrics/report.h"
#include "lycheeshunt/settings/node_settings.h"

#include <memory>

namespace lycheeshunt::dissemination {
class follower;
}

namespace lycheeshunt::flows {
class agent_port;
class flow_duty;
} // namespace lycheeshunt::flows

namespace lycheeshunt::daemon {

class agent_process
{
public:
    static base::result<std::unique_ptr<agent_process>>
    start(const settings::node_settings &settings, const settings::agent_settings &own);
    ~agent_process();

    agent_process(const agent_process &) = delete;
    agent_process &operator=(const agent_process &) = delete;

    // What the process counts. Thread-safe.
    metrics::report metrics() const;

private:
    agent_process();

    std::unique_ptr<flows::flow_duty> m_flows;
    std::unique_ptr<flows::agent_port> m_port;
    std::unique_ptr<dissemination::follower> m_follower;
};

} // namespace lycheeshunt::daemon
