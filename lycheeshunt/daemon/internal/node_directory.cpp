#include "lycheeshunt/daemon/internal/node_directory.h"

#include "lycheeshunt/daemon/internal/node_hold.h"
#include "lycheeshunt/replication/configuration.h"
#include "lycheeshunt/replication/leadership.h"

namespace lycheeshunt::daemon::internal {

void node_directory::set(const replication::configuration &members,
                         const replication::leadership &leadership)
{
    std::vector<base::endpoint> streams;
    for (const replication::configuration_member &member : members.members) {
        if (member.streams.port == 0)
            return;
        streams.push_back(member.streams);
    }
    const replication::configuration_member *leading
        = members.find(base::nodeIdOf(leadership.leaderName));
    const dissemination::control_directory directory {
        leading == nullptr ? base::endpoint {} : leading->streams, std::move(streams)};
    const std::lock_guard<std::mutex> lock(m_lock);
    m_current = std::make_shared<const dissemination::control_directory>(directory);
}

std::shared_ptr<const dissemination::control_directory> node_directory::current() const
{
    const std::lock_guard<std::mutex> lock(m_lock);
    return m_current;
}

bool node_directory::holdUntilLeader(const streams::stream_frame &frame, base::clock_time uptime)
{
    const std::lock_guard<std::mutex> lock(m_lock);
    // The directory is unknown until the first notice of a leadership after the start.
    if (!shouldHoldNode(m_current ? *m_current : dissemination::control_directory {}, uptime))
        return false;
    std::vector<streams::stream_frame> &held = m_waiting[frame.connection];
    if (held.size() < maxHeldMessages && frame.bytes.size() <= maxHeldBytes)
        held.push_back(frame);
    return true;
}

waiting_nodes node_directory::release()
{
    const std::lock_guard<std::mutex> lock(m_lock);
    waiting_nodes released;
    released.swap(m_waiting);
    return released;
}

void node_directory::remove(streams::connection_id connection)
{
    const std::lock_guard<std::mutex> lock(m_lock);
    m_waiting.erase(connection);
}

} // namespace lycheeshunt::daemon::internal
