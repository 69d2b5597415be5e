// The thread of all stand-in backend servers.

#pragma once

#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/ring.h"
#include "tools/soaktest/event_sink.h"
#include "tools/soaktest/process_addresses.h"
#include "tools/soaktest/server_model.h"

#include <atomic>
#include <map>
#include <thread>

namespace lycheeshunt::soak {

class server_duty
{
public:
    // Servers by the name of their agent. Throws std::runtime_error if a port is taken.
    server_duty(const std::map<std::string, process_addresses> &agents, event_sink sink);
    ~server_duty();

    int openFlows(const std::string &name) const { return m_openFlows.at(name); }

private:
    struct server
    {
        std::string name;
        base::file_descriptor socket;
        base::endpoint agent;
        server_model model;
    };
    struct stop_servers
    {
    };

    void run();
    void receive(server &receiver);

    const event_sink m_sink;
    std::vector<server> m_servers;
    std::map<std::string, std::atomic<int>> m_openFlows;
    base::ring<stop_servers> m_inbox {1};
    std::thread m_thread;
};

} // namespace lycheeshunt::soak
