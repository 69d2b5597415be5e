// An entry process: a packet thread that routes, a thread that monitors the agents' liveness, and a
// follower that keeps the routing table up to date.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/result.h"
#include "lycheeshunt/metrics/report.h"
#include "lycheeshunt/packets/packet_codec.h"
#include "lycheeshunt/settings/node_settings.h"

#include <memory>
#include <vector>

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
    start(const settings::node_settings &settings, const settings::entry_settings &own,
          const packets::packet_codec &codec = packets::ipPackets());
    ~entry_process();

    entry_process(const entry_process &) = delete;
    entry_process &operator=(const entry_process &) = delete;

    // Adds addresses of control processes to connect to. Thread-safe.
    void useControl(const std::vector<base::endpoint> &seeds);
    // The process's metrics. Thread-safe.
    metrics::report metrics() const;
    // Whether callers' packets can be routed. Thread-safe.
    bool isReady() const;

private:
    explicit entry_process(std::unique_ptr<routing::entry_port> port);

    std::unique_ptr<routing::entry_port> m_port;
    std::unique_ptr<routing::liveness_port> m_liveness;
    std::unique_ptr<dissemination::follower> m_follower;
};

} // namespace lycheeshunt::daemon
