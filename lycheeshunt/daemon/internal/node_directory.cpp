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

bool node_directory::holdUntilLeader(streams::connection_id connection, base::clock_time uptime)
{
    const std::lock_guard<std::mutex> lock(m_lock);
    if (!m_current || !shouldHoldNode(*m_current, uptime))
        return false;
    m_waiting.insert(connection);
    return true;
}

std::set<streams::connection_id> node_directory::release()
{
    const std::lock_guard<std::mutex> lock(m_lock);
    std::set<streams::connection_id> released;
    released.swap(m_waiting);
    return released;
}

void node_directory::forget(streams::connection_id connection)
{
    const std::lock_guard<std::mutex> lock(m_lock);
    m_waiting.erase(connection);
}

} // namespace lycheeshunt::daemon::internal
