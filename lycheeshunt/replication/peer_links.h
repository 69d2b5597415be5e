// The streams from one control process to the others, with one thread each. A message to a peer
// that is not connected is dropped; the replication decision retransmits it.
//
//     peer_links links(timing, seed);
//     links.setAddress(set_peer_address {node, endpoint});
//     links.send(envelope);
//
// Not thread-safe; used by the replication thread only.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/streams/stream_client.h"

#include <atomic>
#include <map>
#include <memory>

namespace lycheeshunt::replication {

struct send_to_address;
struct set_peer_address;
struct peer_envelope;

class peer_links
{
public:
    peer_links(const streams::stream_timing &timing, std::uint64_t seed);

    peer_links(const peer_links &) = delete;
    peer_links &operator=(const peer_links &) = delete;

    void setAddress(const set_peer_address &update);

    // Non-blocking.
    void send(const peer_envelope &envelope);
    void sendToAddress(const send_to_address &message);

private:
    struct link
    {
        // 0 while not connected.
        std::atomic<std::uint64_t> connection = 0;
        base::clock_time lastUsed;
        std::unique_ptr<streams::stream_client> client;
    };

    link &linkTo(const base::endpoint &to);
    void sendTo(const base::endpoint &to, const peer_envelope &envelope);
    void removeIdleLinks(base::clock_time now);

    const streams::stream_timing m_timing;
    std::uint64_t m_seed;
    std::map<base::node_id, base::endpoint> m_addresses;
    std::map<base::endpoint, std::unique_ptr<link>> m_links;
};

} // namespace lycheeshunt::replication
