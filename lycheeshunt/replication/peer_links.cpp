#include "lycheeshunt/replication/peer_links.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/replication/peer_codec.h"
#include "lycheeshunt/replication/peer_envelope.h"

namespace lycheeshunt::replication {

peer_links::peer_links(const std::vector<control_peer> &others,
                       const streams::stream_timing &timing, std::uint64_t seed)
{
    for (const control_peer &peer : others) {
        std::unique_ptr<link> made = std::make_unique<link>();
        link *raw = made.get();
        const streams::stream_sink sink = [raw](const streams::stream_event &event) {
            std::visit(base::overloaded {
                           [raw](const streams::stream_opened &opened) {
                               raw->connection = opened.connection.value();
                           },
                           [raw](const streams::stream_closed &) { raw->connection = 0; },
                           // Answers come on the peer's own stream to this process.
                           [](const streams::stream_frame &) {},
                       },
                       event);
        };
        made->client = std::make_unique<streams::stream_client>(
            std::vector<base::endpoint> {peer.streams}, timing, seed++, sink);
        m_links.emplace(base::nodeIdOf(peer.name), std::move(made));
    }
}

void peer_links::send(const peer_envelope &envelope)
{
    const auto found = m_links.find(envelope.to.node);
    if (found == m_links.end())
        return;
    const std::uint64_t connection = found->second->connection;
    if (connection != 0)
        found->second->client->outgoing().tryPush(
            streams::stream_frame {streams::connection_id(connection),
                                   streams::channel::replication, encodeEnvelope(envelope)});
}

} // namespace lycheeshunt::replication
