// The streams of one control process to all the others, a thread each. A message for a peer that
// can't be reached now is dropped; the replication decision sends it again.
//
//     peer_links links(others, timing, seed);
//     links.send(envelope);

#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/replication/control_peer.h"
#include "lycheeshunt/streams/stream_client.h"

#include <atomic>
#include <map>
#include <memory>

namespace lycheeshunt::replication {

struct peer_envelope;

class peer_links
{
public:
    peer_links(const std::vector<control_peer> &others, const streams::stream_timing &timing,
               std::uint64_t seed);

    peer_links(const peer_links &) = delete;
    peer_links &operator=(const peer_links &) = delete;

    // Never waits.
    void send(const peer_envelope &envelope);

private:
    struct link
    {
        // 0 while there is no connection.
        std::atomic<std::uint64_t> connection = 0;
        std::unique_ptr<streams::stream_client> client;
    };

    std::map<base::node_id, std::unique_ptr<link>> m_links;
};

} // namespace lycheeshunt::replication
