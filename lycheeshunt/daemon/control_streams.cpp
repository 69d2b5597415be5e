// What a control process receives on its streams from nodes and from other control processes.

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/daemon/control_process.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/publisher_duty.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_duty.h"
#include "lycheeshunt/replication/peer_codec.h"
#include "lycheeshunt/replication/replication_duty.h"
#include "lycheeshunt/streams/stream_server.h"

namespace lycheeshunt::daemon {

void control_process::redirectNode(streams::connection_id connection)
{
    sendDirectory(connection);
    m_streams->outgoing().tryPush(
        streams::stream_frame {connection, streams::channel::dissemination, {}});
}

// A leader is known: the nodes that waited for it are served here or redirected to it.
void control_process::releaseNodes()
{
    const std::lock_guard<std::mutex> lock(m_releaseLock);
    const internal::waiting_nodes released = m_directory.release();
    for (auto it = released.begin(); it != released.end(); ++it) {
        if (!m_isLeading)
            redirectNode(it->first);
        else
            for (const streams::stream_frame &frame : it->second)
                handleFrame(frame);
    }
}

void control_process::sendDirectory(streams::connection_id connection)
{
    const std::shared_ptr<const dissemination::control_directory> known = m_directory.current();
    if (known)
        m_streams->outgoing().tryPush(
            streams::stream_frame {connection, streams::channel::dissemination,
                                   dissemination::encodeControlMessage(*known)});
}

void control_process::handleStreamEvent(const streams::stream_event &event)
{
    m_started.wait();
    std::visit(
        base::overloaded {
            [this](const streams::stream_opened &opened) {
                m_publisher->inbox().push(dissemination::subscriber_opened {opened.connection});
            },
            [this](const streams::stream_closed &closed) {
                const std::lock_guard<std::mutex> lock(m_releaseLock);
                m_directory.remove(closed.connection);
                m_publisher->inbox().push(dissemination::subscriber_closed {closed.connection});
            },
            [this](const streams::stream_frame &frame) { handleFrame(frame); },
        },
        event);
}

void control_process::handleFrame(const streams::stream_frame &frame)
{
    if (frame.channel != streams::channel::replication && !m_isLeading) {
        // Only the leader handles membership and acknowledgements. The node waits until it is
        // known, or is redirected to it.
        if (m_directory.holdUntilLeader(frame, base::clock_time::steady() - m_startedAt))
            return;
        // This VM may have become the leader in the meantime.
        if (!m_isLeading) {
            redirectNode(frame.connection);
            return;
        }
    }
    if (frame.channel == streams::channel::membership) {
        handleMemberFrame(frame);
    } else if (frame.channel == streams::channel::dissemination) {
        const base::result<dissemination::node_message> message
            = dissemination::decodeNodeMessage(frame.bytes);
        const bool isRequest = base::isOk(message)
            && std::holds_alternative<dissemination::view_request>(base::valueOf(message));
        if (isRequest)
            sendDirectory(frame.connection);
        if (base::isOk(message))
            m_publisher->inbox().push(
                dissemination::node_message_received {frame.connection, base::valueOf(message)});
    } else if (frame.channel == streams::channel::replication) {
        const base::result<replication::peer_envelope> envelope
            = replication::decodeEnvelope(frame.bytes);
        if (const base::error *failure = base::errorOf(envelope))
            base::logWarning("replication", "peer message refused: " + failure->text());
        else
            m_replication->inbox().push(base::valueOf(envelope));
    }
}

void control_process::handleMemberFrame(const streams::stream_frame &frame)
{
    const base::result<membership::member_frame> decoded = membership::decodeFrame(frame.bytes);
    if (!base::isOk(decoded))
        return;
    std::visit([this](const auto &message) { m_membership->inbox().push(message); },
               base::valueOf(decoded));
}

} // namespace lycheeshunt::daemon
