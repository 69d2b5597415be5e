// The streams of one control process to all the others, a thread each. A message for a peer that
// can't be reached now is dropped; the replication decision sends it again.
//
//     peer_links links(timing, seed);
//     links.setAddress(set_peer_address {node, endpoint});
//     links.send(envelope);
//
// Not thread-safe: the replication thread alone uses it.

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

    void setAddress(const set_peer_address &located);

    // Neither waits.
    void send(const peer_envelope &envelope);
    void sendToAddress(const send_to_address &greeting);

private:
    struct link
    {
        // 0 while there is no connection.
        std::atomic<std::uint64_t> connection = 0;
        base::clock_time usedAt;
        std::unique_ptr<streams::stream_client> client;
    };

    link &linkTo(const base::endpoint &to);
    void sendTo(const base::endpoint &to, const peer_envelope &envelope);
    void dropUnused(base::clock_time now);

    const streams::stream_timing m_timing;
    std::uint64_t m_seed;
    std::map<base::node_id, base::endpoint> m_addresses;
    std::map<base::endpoint, std::unique_ptr<link>> m_links;
};

} // namespace lycheeshunt::replication
