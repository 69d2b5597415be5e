// The thread of an entry that monitors agents: sends probes and receives echoes and ICMP errors
// through a socket of its own, and publishes which agents the packet thread is to bypass.
//
//     base::result<std::unique_ptr<liveness_port>> port = liveness_port::open(local, sink);
//     valueOf(port)->agents().push(agents_changed {table->targets()});

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/routing/liveness_message.h"
#include "lycheeshunt/routing/liveness_state.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace lycheeshunt::routing {

class liveness_port
{
public:
    // Called on the port's thread.
    using bypass_sink = std::function<void(const shared_bypass &)>;

    static base::result<std::unique_ptr<liveness_port>> open(const base::endpoint &local,
                                                             bypass_sink sink);
    ~liveness_port();

    liveness_port(const liveness_port &) = delete;
    liveness_port &operator=(const liveness_port &) = delete;

    base::ring<agents_changed> &agents() { return m_agents; }
    // Number of agents that are bypassed at present. Thread-safe.
    std::size_t bypassed() const { return m_bypassed; }

private:
    liveness_port(base::file_descriptor socket, bypass_sink sink);

    void run();
    void receive();
    void receiveErrors();
    void handle(const liveness_message &message);
    void carryOut(const liveness_action &action);

    base::file_descriptor m_socket;
    const bypass_sink m_sink;
    base::ring<agents_changed> m_agents;
    liveness_state m_state;
    std::atomic<std::size_t> m_bypassed = 0;
    std::thread m_thread;
};

} // namespace lycheeshunt::routing
