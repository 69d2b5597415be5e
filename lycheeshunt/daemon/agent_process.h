// An agent process: a packet thread, a flow thread, and a follower that keeps its view up to date.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/result.h"
#include "lycheeshunt/membership/member.h"
#include "lycheeshunt/metrics/report.h"
#include "lycheeshunt/packets/packet_codec.h"
#include "lycheeshunt/servers/announcement_outcome.h"
#include "lycheeshunt/servers/server_duty.h"
#include "lycheeshunt/settings/node_settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheeshunt::dissemination {
struct cluster_view;
class follower;
} // namespace lycheeshunt::dissemination

namespace lycheeshunt::flows {
class agent_port;
class flow_duty;
} // namespace lycheeshunt::flows

namespace lycheeshunt::daemon {

class agent_process
{
public:
    // Called on the thread of the server duty. With it, the agent serves only once its backend
    // server has announced itself, and assumes that the server returns packets of flows that it
    // does not have.
    using reply_sink = std::function<void(const servers::announcement_outcome &)>;

    static base::result<std::unique_ptr<agent_process>>
    start(const settings::node_settings &settings, const settings::agent_settings &own,
          const packets::packet_codec &codec = packets::ipPackets(), reply_sink reply = {});
    ~agent_process();

    agent_process(const agent_process &) = delete;
    agent_process &operator=(const agent_process &) = delete;

    // Adds addresses of control processes to connect to. Thread-safe.
    void useControl(const std::vector<base::endpoint> &seeds);
    // The process's metrics. Thread-safe.
    metrics::report metrics() const;
    // The backend server's announcements.
    base::ring<servers::server_message> &announcements() { return m_servers->inbox(); }
    // Whether the backend server accepts new flows. Thread-safe.
    bool isReady() const { return m_isAccepting; }

private:
    explicit agent_process(std::string service);

    void restoreServer(const dissemination::cluster_view &view, const membership::member &self);
    void handleServerStatus(const membership::member &self, const servers::server_status &status);
    void countRejection(const servers::reject_announcement &rejected);

    // The service in the settings. An agent never changes its service.
    const std::string m_service;
    // Accessed by the follower's thread only: only the first view can show an earlier incarnation.
    bool m_isRestoreChecked = false;
    std::atomic<bool> m_isAccepting = false;
    std::atomic<std::uint64_t> m_rejectedAnnouncements = 0;
    std::unique_ptr<flows::flow_duty> m_flows;
    std::unique_ptr<flows::agent_port> m_port;
    std::unique_ptr<dissemination::follower> m_follower;
    // Null where the backend server sends no announcements.
    std::unique_ptr<servers::server_duty> m_servers;
};

} // namespace lycheeshunt::daemon
