// The sockets of an agent, served by a thread of their own: receives packets and messages from
// entries and other agents and answers from the backend server, and carries out the actions of the
// flow thread. Malformed datagrams are counted and dropped.
//
//     base::result<std::unique_ptr<agent_port>> port
//         = agent_port::open(sockets, codec, incarnation, inbox);
//     valueOf(port)->actions().push(action);

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/flows/agent_sockets.h"
#include "lycheeshunt/flows/flow_action.h"
#include "lycheeshunt/flows/flow_message.h"
#include "lycheeshunt/packets/packet_codec.h"

#include <atomic>
#include <memory>
#include <thread>

namespace lycheeshunt::packets {
struct received_datagram;
}

namespace lycheeshunt::flows {

class agent_port
{
public:
    // The inbox must outlive the port. Probes for another incarnation are not answered.
    static base::result<std::unique_ptr<agent_port>> open(const agent_sockets &sockets,
                                                          const packets::packet_codec &codec,
                                                          base::incarnation incarnation,
                                                          base::ring<flow_message> &inbox);
    ~agent_port();

    agent_port(const agent_port &) = delete;
    agent_port &operator=(const agent_port &) = delete;

    base::ring<flow_action> &actions() { return m_actions; }
    // From now on, probes for this incarnation are answered. Thread-safe.
    void setIncarnation(base::incarnation incarnation) { m_incarnation = incarnation.value(); }

    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t refused() const { return m_refused; }
    std::uint64_t resets() const { return m_resets; }

private:
    agent_port(const agent_sockets &sockets, const packets::packet_codec &codec,
               base::incarnation incarnation, base::file_descriptor peerSide,
               base::file_descriptor serverSide, base::ring<flow_message> &inbox);

    void run();
    void receiveFromPeers();
    void answerProbe(const packets::received_datagram &received);
    void receiveFromServer();
    void sendToCaller(std::string_view bytes);
    void sendToServer(std::string_view bytes);
    void carryOut(const flow_action &action);

    const agent_sockets m_addresses;
    const packets::packet_codec m_codec;
    std::atomic<std::uint64_t> m_incarnation;
    base::file_descriptor m_peerSide;
    base::file_descriptor m_serverSide;
    base::ring<flow_message> &m_inbox;
    base::ring<flow_action> m_actions;
    std::atomic<std::uint64_t> m_malformed = 0;
    std::atomic<std::uint64_t> m_refused = 0;
    std::atomic<std::uint64_t> m_resets = 0;
    std::thread m_thread;
};

} // namespace lycheeshunt::flows
