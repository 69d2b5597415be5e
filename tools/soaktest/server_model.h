// The TCP stack and application of a backend server. Like a real stack it returns a packet of a
// connection that it does not hold with a reset. It never ends a connection by itself.

#pragma once

#include "tools/soaktest/stand_in_output.h"
#include "tools/soaktest/tcp_segment.h"

#include <unordered_map>

namespace lycheeshunt::soak {

class server_model
{
public:
    // Servers need different initial sequence numbers: a server that holds a half-open connection
    // recognizes by it that the caller acknowledged the answer of another one.
    server_model(std::string name, std::uint32_t initialSequence);

    stand_in_output receive(const std::string &packet);
    // Flows that are open and that the caller has not ended.
    int openFlows() const { return m_openFlows; }

private:
    struct connection
    {
        std::uint32_t expected;
        std::uint32_t next;
        bool isOpen = false;
        bool isFinished = false;
        std::string lastAnswer = {};
    };

    void accept(const tcp_segment &segment, stand_in_output &output);
    void handle(connection &held, const tcp_segment &segment, stand_in_output &output);

    const std::string m_name;
    const std::uint32_t m_initialSequence;
    std::unordered_map<base::flow_key, connection> m_connections;
    int m_openFlows = 0;
};

} // namespace lycheeshunt::soak
