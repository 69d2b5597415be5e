// An entry: a packet thread that routes, one that watches the agents, and a follower that keeps
// the table new.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/metrics/report.h"
#include "lycheeshunt/settings/node_settings.h"

#include <memory>

namespace lycheeshunt::dissemination {
class follower;
}

namespace lycheeshunt::routing {
class entry_port;
class liveness_port;
} // namespace lycheeshunt::routing

namespace lycheeshunt::daemon {

class entry_process
{
public:
    static base::result<std::unique_ptr<entry_process>>
    start(const settings::node_settings &settings, const settings::entry_settings &own);
    ~entry_process();

    entry_process(const entry_process &) = delete;
    entry_process &operator=(const entry_process &) = delete;

    // What the process counts. Thread-safe.
    metrics::report metrics() const;

private:
    explicit entry_process(std::unique_ptr<routing::entry_port> port);

    std::unique_ptr<routing::entry_port> m_port;
    std::unique_ptr<routing::liveness_port> m_liveness;
    std::unique_ptr<dissemination::follower> m_follower;
};

} // namespace lycheeshunt::daemon
