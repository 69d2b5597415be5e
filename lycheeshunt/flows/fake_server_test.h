// A backend server's TCP stack for the tests of the flow decisions: keeps its connections and
// resets packets of all others.

#pragma once

#include "lycheeshunt/packets/ip_summary.h"

#include <optional>
#include <set>
#include <string>

namespace lycheeshunt::flows {

class fake_server
{
public:
    explicit fake_server(std::string service) : m_service(std::move(service)) { }

    const std::string &service() const { return m_service; }
    bool has(const base::flow_key &key) const { return m_connections.count(key) > 0; }

    // The answer to a caller's packet.
    packets::ip_summary handle(const packets::ip_summary &packet)
    {
        if (packet.opens)
            m_connections.insert(packet.key);
        const bool known = has(packet.key);
        if (packet.finishes || packet.resets)
            m_connections.erase(packet.key);
        return packets::ip_summary {packet.key, false, known && packet.finishes, !known, 0};
    }

    // A packet that the server sends without a request.
    std::optional<packets::ip_summary> send(const base::flow_key &key) const
    {
        if (!has(key))
            return std::nullopt;
        return packets::ip_summary {key, false, false, false, 1};
    }

    // As when the server process restarts on the same address.
    void removeConnections() { m_connections.clear(); }

private:
    const std::string m_service;
    std::set<base::flow_key> m_connections;
};

} // namespace lycheeshunt::flows
