#include "lycheeshunt/replication/peer_links.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/replication/peer_codec.h"
#include "lycheeshunt/replication/send_to_address.h"
#include "lycheeshunt/replication/set_peer_address.h"

namespace lycheeshunt::replication {

namespace {

// Every contact is sent a presence message each 500 ms, so a link that has not been used for this
// long belongs to a VM that has left the group.
constexpr base::clock_time idleLinkTimeout = base::clock_time::ofSeconds(10);

} // namespace

peer_links::peer_links(const streams::stream_timing &timing, std::uint64_t seed)
    : m_timing(timing), m_seed(seed)
{
}

void peer_links::setAddress(const set_peer_address &update)
{
    m_addresses.erase(update.node);
    if (update.streams.port != 0)
        m_addresses.emplace(update.node, update.streams);
}

void peer_links::send(const peer_envelope &envelope)
{
    const auto found = m_addresses.find(envelope.to.node);
    if (found != m_addresses.end())
        sendTo(found->second, envelope);
}

void peer_links::sendToAddress(const send_to_address &message)
{
    sendTo(message.to, message.envelope);
    removeIdleLinks(base::clock_time::steady());
}

peer_links::link &peer_links::linkTo(const base::endpoint &to)
{
    std::unique_ptr<link> &slot = m_links[to];
    if (slot)
        return *slot;
    slot = std::make_unique<link>();
    link *created = slot.get();
    const streams::stream_sink sink = [created](const streams::stream_event &event) {
        std::visit(base::overloaded {
                       [created](const streams::stream_opened &opened) {
                           created->connection = opened.connection.value();
                       },
                       [created](const streams::stream_closed &) { created->connection = 0; },
                       // Ignored: the peer answers on its own stream to this process.
                       [](const streams::stream_frame &) {},
                   },
                   event);
    };
    slot->client = std::make_unique<streams::stream_client>(std::vector<base::endpoint> {to},
                                                            m_timing, m_seed++, sink);
    return *slot;
}

void peer_links::sendTo(const base::endpoint &to, const peer_envelope &envelope)
{
    link &target = linkTo(to);
    target.lastUsed = base::clock_time::steady();
    const std::uint64_t connection = target.connection;
    if (connection != 0)
        target.client->outgoing().tryPush(streams::stream_frame {streams::connection_id(connection),
                                                                 streams::channel::replication,
                                                                 encodeEnvelope(envelope)});
}

void peer_links::removeIdleLinks(base::clock_time now)
{
    std::erase_if(m_links,
                  [now](const std::pair<const base::endpoint, std::unique_ptr<link>> &row) {
                      return now - row.second->lastUsed > idleLinkTimeout;
                  });
}

} // namespace lycheeshunt::replication
