// The packet thread of an entry: receives callers' packets from the fabric in batches, routes each
// by the current table and forwards it. Its only state for flows is a cache of owner hints, which
// agents send to a separate socket; without that socket it keeps no state for flows.
//
//     base::result<std::unique_ptr<entry_port>> port = entry_port::open({local}, ipPackets());
//     valueOf(port)->updates().push(table);

#pragma once

#include "lycheeshunt/base/early_packets.h"
#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/flows/peer_message.h"
#include "lycheeshunt/metrics/span_histogram.h"
#include "lycheeshunt/pacing/egress_queue.h"
#include "lycheeshunt/packets/packet_codec.h"
#include "lycheeshunt/routing/bypassed_agents.h"
#include "lycheeshunt/routing/entry_sockets.h"
#include "lycheeshunt/routing/flow_hints.h"
#include "lycheeshunt/routing/hedging.h"
#include "lycheeshunt/routing/routing_table.h"
#include "lycheeshunt/routing/steering.h"

#include <atomic>
#include <memory>
#include <thread>

namespace lycheeshunt::flows {
struct forwarded_packet;
}

namespace lycheeshunt::routing {

namespace internal {
class packet_batch;
}

// An update for the packet thread: a newer routing table, or the agents to bypass.
using entry_update = std::variant<shared_table, shared_bypass>;

class entry_port
{
public:
    static base::result<std::unique_ptr<entry_port>> open(const entry_sockets &sockets,
                                                          const packets::packet_codec &codec);
    ~entry_port();

    entry_port(const entry_port &) = delete;
    entry_port &operator=(const entry_port &) = delete;

    // The table of the latest generation and the bypass pushed last are used.
    base::ring<entry_update> &updates() { return m_updates; }
    // The local address for packets; contains the port that the system chose for port 0.
    base::endpoint local() const;

    // Numbers of packets that were malformed or unsupported, had no agent, or could not be sent.
    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t unroutable() const { return m_unroutable; }
    std::uint64_t unsent() const { return m_unsent; }
    // Number of packets that a hint sent to the flow's owner, and of resets sent to callers.
    std::uint64_t hinted() const { return m_hinted; }
    std::uint64_t resets() const { return m_resets; }
    // Numbers of packets that waited for the link, that were copies of waiting ones, and for which
    // the queue had no room; and the bytes that wait now.
    std::uint64_t paced() const { return m_paced; }
    std::uint64_t copies() const { return m_copies; }
    std::uint64_t overflowed() const { return m_overflowed; }
    std::uint64_t waitingBytes() const { return m_waitingBytes; }
    // Numbers of second copies of opening packets that were sent, that the limit refused, and of
    // openings that were evicted before a copy was due.
    std::uint64_t hedged() const { return m_hedged; }
    std::uint64_t hedgesRefused() const { return m_hedgesRefused; }
    std::uint64_t hedgesEvicted() const { return m_hedgesEvicted; }
    // Time from an opening packet that may be hedged to the hint that a server has answered.
    metrics::sample openingAnswers() const { return m_openingAnswers.current(); }
    // Whether a routing table has arrived.
    bool isReady() const { return m_isReady; }

private:
    entry_port(const entry_sockets &sockets, const packets::packet_codec &codec,
               base::file_descriptor socket, base::file_descriptor hintSocket);

    void run();
    void handleUpdate(const entry_update &update);
    void routeBatch(internal::packet_batch &packets);
    void routePacket(internal::packet_batch &packets, std::size_t index);
    // Sends what the link takes of the packets that wait. Returns when to send again.
    std::optional<base::clock_time> sendDuePackets();
    // Tells the hedging decision of a packet that was routed.
    void trackOpening(const packets::ip_summary &packet, const steering &decision,
                      std::string_view bytes, base::clock_time now);
    // The flow's server has answered its opening packet.
    void takeAnswer(const base::flow_key &key, base::clock_time now);
    // Sends the second copies that are due. Returns when the next one is.
    std::optional<base::clock_time> sendDueHedges();
    void sendHedge(const due_opening &due);
    void sendPaced(const packets::ip_summary &summary, const base::endpoint &to, std::string bytes);
    void enqueue(pacing::queued_datagram datagram, base::clock_time now);
    void bufferEarlyPacket(std::string_view bytes, const packets::ip_summary &summary);
    void routeEarlyPackets();
    // Carries out the decision for a single packet that is not in a batch.
    void carryOut(const steering &decision, const flows::forwarded_packet &packet);

    void receiveHints();
    void takeHint(const flows::peer_message &message);
    void handleUnknownFlow(const flows::forwarded_packet &packet);
    void refuseCaller(std::string_view packet, const base::flow_key &key);

    const entry_sockets m_sockets;
    const packets::packet_codec m_codec;
    // The address that agents are to send hints to; port 0 if the entry receives no hints.
    base::endpoint m_hintEndpoint;
    base::file_descriptor m_socket;
    base::file_descriptor m_hintSocket;
    flow_hints m_hints;
    hedging m_hedging;
    metrics::span_histogram m_openingAnswers;
    // Packets that wait for the VM's link.
    pacing::egress_queue m_egress;
    // Packets that are buffered until the first routing table arrives.
    base::early_packets<std::string> m_earlyPackets;
    base::ring<entry_update> m_updates;
    shared_table m_table;
    shared_bypass m_bypass;
    std::atomic<std::uint64_t> m_malformed = 0;
    std::atomic<std::uint64_t> m_unroutable = 0;
    std::atomic<std::uint64_t> m_unsent = 0;
    std::atomic<std::uint64_t> m_hinted = 0;
    std::atomic<std::uint64_t> m_resets = 0;
    std::atomic<std::uint64_t> m_paced = 0;
    std::atomic<std::uint64_t> m_copies = 0;
    std::atomic<std::uint64_t> m_overflowed = 0;
    std::atomic<std::uint64_t> m_waitingBytes = 0;
    std::atomic<std::uint64_t> m_hedged = 0;
    std::atomic<std::uint64_t> m_hedgesRefused = 0;
    std::atomic<std::uint64_t> m_hedgesEvicted = 0;
    std::atomic<bool> m_isReady = false;
    std::thread m_thread;
};

} // namespace lycheeshunt::routing
