#include "lycheeshunt/dissemination/follower.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/streams/stream_client.h"

#include <optional>

namespace lycheeshunt::dissemination {

namespace {
constexpr std::size_t inboxCapacity = 256;
constexpr base::clock_time announceEvery = base::clock_time::ofSeconds(1);
constexpr const char *logPart = "dissemination";
} // namespace

follower::follower(std::vector<base::endpoint> control, const membership::member &self,
                   std::uint64_t seed, view_sink sink)
    : m_self(self), m_sink(std::move(sink)), m_inbox(inboxCapacity),
      m_client(std::make_unique<streams::stream_client>(
          std::move(control), streams::stream_timing {}, seed,
          [this](const streams::stream_event &event) { m_inbox.push(event); })),
      m_thread([this]() { run(); })
{
}

follower::~follower()
{
    m_inbox.close();
    m_thread.join();
}

void follower::run()
{
    std::optional<streams::connection_id> current;
    base::clock_time lastAnnounced;
    while (!m_inbox.isClosed()) {
        const std::optional<streams::stream_event> event = m_inbox.popFor(announceEvery);
        if (event) {
            std::visit(base::overloaded {
                           [&](const streams::stream_opened &opened) {
                               current = opened.connection;
                               lastAnnounced = base::clock_time();
                           },
                           [&](const streams::stream_closed &) { current.reset(); },
                           [&](const streams::stream_frame &frame) { takeView(frame); },
                       },
                       *event);
        }
        const base::clock_time now = base::clock_time::steady();
        if (current && now - lastAnnounced >= announceEvery) {
            lastAnnounced = now;
            announce(*current);
        }
    }
}

void follower::announce(streams::connection_id connection)
{
    m_client->outgoing().tryPush(streams::stream_frame {connection, streams::channel::membership,
                                                        membership::encodeMember(m_self)});
}

void follower::takeView(const streams::stream_frame &frame)
{
    if (frame.channel != streams::channel::dissemination)
        return;
    const base::result<cluster_view> decoded = decodeView(frame.bytes);
    if (const base::error *failure = base::errorOf(decoded)) {
        base::logWarning(logPart, "view refused: " + failure->text());
        return;
    }
    const shared_view view = std::make_shared<const cluster_view>(base::valueOf(decoded));
    if (view->at > m_held) {
        m_held = view->at;
        m_sink(view);
    }
    m_client->outgoing().tryPush(streams::stream_frame {
        frame.connection, streams::channel::dissemination, encodeAcknowledgement(m_held)});
}

} // namespace lycheeshunt::dissemination
