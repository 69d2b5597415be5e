#include "lycheeshunt/routing/liveness_port.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/packets/datagram_io.h"
#include "lycheeshunt/routing/codec.h"
#include "lycheeshunt/routing/liveness_decision.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

namespace lycheeshunt::routing {

namespace {
constexpr std::size_t inboxCapacity = 8;
} // namespace

base::result<std::unique_ptr<liveness_port>> liveness_port::open(const base::endpoint &local,
                                                                 bypass_sink sink)
{
    base::result<base::file_descriptor> socket = base::openDatagramSocket(local);
    if (const base::error *failure = base::errorOf(socket))
        return *failure;
    // Queues ICMP errors together with the destination address of the datagram that caused them.
    const int on = 1;
    ::setsockopt(base::valueOf(socket).get(), IPPROTO_IP, IP_RECVERR, &on, sizeof on);
    return std::unique_ptr<liveness_port>(
        new liveness_port(base::takeValue(std::move(socket)), std::move(sink)));
}

liveness_port::liveness_port(base::file_descriptor socket, bypass_sink sink)
    : m_socket(std::move(socket)), m_sink(std::move(sink)), m_agents(inboxCapacity),
      m_thread([this]() { run(); })
{
}

liveness_port::~liveness_port()
{
    m_agents.close();
    m_thread.join();
}

void liveness_port::run()
{
    base::clock_time nextTick = base::clock_time::steady() + livenessTickInterval;
    while (!m_agents.isClosed()) {
        const base::clock_time timeout
            = std::max(nextTick - base::clock_time::steady(), base::clock_time());
        pollfd watched[] = {{m_socket.get(), POLLIN, 0}, {m_agents.descriptor(), POLLIN, 0}};
        ::poll(watched, std::size(watched), static_cast<int>(timeout.millis()));
        if ((watched[0].revents & POLLERR) != 0)
            base::runGuarded("routing", [this]() { receiveErrors(); });
        if ((watched[0].revents & POLLIN) != 0)
            base::runGuarded("routing", [this]() { receive(); });
        while (const std::optional<agents_changed> changed = m_agents.tryPop())
            base::runGuarded("routing", [&]() { handle(*changed); });
        const base::clock_time now = base::clock_time::steady();
        if (now >= nextTick) {
            nextTick = now + livenessTickInterval;
            base::runGuarded("routing", [this]() { handle(liveness_tick {}); });
        }
    }
}

void liveness_port::receive()
{
    while (const std::optional<std::string> bytes = packets::receiveDatagram(m_socket.get())) {
        const base::result<probe_datagram> decoded = decodeProbe(*bytes);
        const probe_datagram *datagram = std::get_if<probe_datagram>(&decoded);
        if (datagram != nullptr && datagram->kind == probe_kind::echo)
            handle(probe_answered {datagram->incarnation, datagram->number});
    }
}

void liveness_port::receiveErrors()
{
    sockaddr_in destination {};
    char unusedPayload[1] = {};
    iovec part {unusedPayload, sizeof unusedPayload};
    msghdr message {};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_name = &destination;
    message.msg_namelen = sizeof destination;
    while (::recvmsg(m_socket.get(), &message, MSG_ERRQUEUE | MSG_DONTWAIT) >= 0) {
        handle(agent_unreachable {base::fromSocketAddress(destination)});
        message.msg_namelen = sizeof destination;
    }
}

void liveness_port::handle(const liveness_message &message)
{
    base::step<liveness_state, liveness_action> next
        = decide(std::move(m_state), message, base::clock_time::steady());
    m_state = std::move(next.state);
    base::reportFault("routing", next.fault);
    for (const liveness_action &action : next.actions)
        carryOut(action);
}

void liveness_port::carryOut(const liveness_action &action)
{
    std::visit(
        base::overloaded {
            [this](const send_probe &send) {
                const probe_datagram datagram {probe_kind::probe, send.to.incarnation, send.number};
                packets::sendDatagram(m_socket.get(), send.to.packets, encodeProbe(datagram));
            },
            [this](const set_bypass &set) {
                m_bypassed = set.agents.size();
                base::logEvent("routing", "bypass",
                               {{"agents", std::to_string(set.agents.size())},
                                {"of", std::to_string(m_state.agents.size())}});
                m_sink(std::make_shared<const bypassed_agents>(set.agents));
            },
        },
        action);
}

} // namespace lycheeshunt::routing
