#include "tools/soaktest/link_duty.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/base/socket.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <stdexcept>

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

bool isWouldBlock(ssize_t count)
{
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN);
}

short eventsFor(const link_pipe &reads, link_pipe &writes, clock_time now)
{
    return static_cast<short>((reads.mayRead() ? POLLIN : 0)
                              | (writes.due(now).empty() ? 0 : POLLOUT));
}

} // namespace

link_duty::link_duty(const std::map<std::string, process_addresses> &controls)
{
    for (auto it = controls.begin(); it != controls.end(); ++it) {
        base::result<base::file_descriptor> listener = base::openListener(it->second.far);
        if (const base::error *failure = base::errorOf(listener))
            throw std::runtime_error(failure->text());
        m_proxies.push_back({it->first,
                             base::takeValue(std::move(listener)),
                             it->second.main,
                             {it->first, false, link_clear {}}});
    }
    m_thread = std::thread([this]() { run(); });
}

link_duty::~link_duty()
{
    m_inbox.close();
    m_thread.join();
}

void link_duty::run()
{
    std::vector<pollfd> watched;
    while (!m_inbox.isClosed()) {
        const clock_time before = clock_time::steady();
        watch(watched, before);
        ::poll(watched.data(), watched.size(), timeout(before));
        while (const std::optional<link_order> order = m_inbox.tryPop())
            apply(*order);
        for (proxy &each : m_proxies)
            accept(each);
        const clock_time now = clock_time::steady();
        for (connection &each : m_connections)
            relay(each, now);
        m_connections.remove_if([](const connection &each) { return each.isClosed; });
    }
}

int link_duty::timeout(clock_time now) const
{
    std::optional<clock_time> next;
    for (const connection &each : m_connections) {
        for (const link_pipe *pipe : {&each.toControl, &each.fromControl}) {
            const std::optional<clock_time> due = pipe->nextDue();
            if (due && (!next || *due < *next))
                next = due;
        }
    }
    constexpr int noTimeout = -1;
    return next ? static_cast<int>(std::max<std::int64_t>(0, (*next - now).millis())) : noTimeout;
}

void link_duty::watch(std::vector<pollfd> &watched, clock_time now)
{
    watched.clear();
    watched.push_back({m_inbox.descriptor(), POLLIN, 0});
    for (const proxy &each : m_proxies)
        watched.push_back({each.listener.get(), POLLIN, 0});
    // A socket without events is left out, or its hang-up would end each poll() at once.
    for (connection &each : m_connections) {
        const short client = eventsFor(each.toControl, each.fromControl, now);
        const short server = eventsFor(each.fromControl, each.toControl, now);
        watched.push_back({client == 0 ? -1 : each.client.get(), client, 0});
        watched.push_back({server == 0 ? -1 : each.server.get(), server, 0});
    }
}

void link_duty::accept(proxy &from)
{
    while (true) {
        base::file_descriptor client(
            ::accept4(from.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!client.isOpen())
            return;
        base::result<base::file_descriptor> server = base::startConnection(from.target);
        if (!base::isOk(server))
            continue;
        base::sendWithoutDelay(client);
        base::sendWithoutDelay(base::valueOf(server));
        m_isNextSecond = !m_isNextSecond;
        m_connections.push_back({from.control,
                                 m_isNextSecond,
                                 std::move(client),
                                 base::takeValue(std::move(server)),
                                 {},
                                 {}});
        apply(from.order, m_connections.back());
    }
}

void link_duty::apply(const link_order &order)
{
    for (proxy &each : m_proxies) {
        // A reset does not last: later connections are relayed as before.
        if (each.control == order.control && !std::holds_alternative<link_reset>(order.fault))
            each.order = order;
    }
    for (connection &each : m_connections) {
        if (each.control == order.control)
            apply(order, each);
    }
}

void link_duty::apply(const link_order &order, connection &each)
{
    if (order.isPartial && !each.isSecond)
        return;
    std::visit(base::overloaded {
                   [&](const link_clear &) {
                       each.toControl.setFault({}, false);
                       each.fromControl.setFault({}, false);
                   },
                   [&](const link_delay &fault) {
                       each.toControl.setFault(fault.delay, false);
                       each.fromControl.setFault(fault.delay, false);
                   },
                   [&](const link_silence &fault) {
                       each.toControl.setFault({}, fault.toControl);
                       each.fromControl.setFault({}, fault.fromControl);
                   },
                   [&](const link_reset &) {
                       const linger atOnce {1, 0};
                       for (const base::file_descriptor *end : {&each.client, &each.server})
                           ::setsockopt(end->get(), SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
                       each.isClosed = true;
                   },
               },
               order.fault);
}

void link_duty::relay(connection &each, clock_time now)
{
    if (each.isClosed)
        return;
    move(each, each.toControl, each.client, each.server, now);
    move(each, each.fromControl, each.server, each.client, now);
    each.isClosed = each.isClosed || each.toControl.isFinished() || each.fromControl.isFinished();
}

void link_duty::move(connection &each, link_pipe &pipe, const base::file_descriptor &from,
                     const base::file_descriptor &to, clock_time now)
{
    std::array<char, 65536> buffer;
    while (pipe.mayRead()) {
        const ssize_t count = ::recv(from.get(), buffer.data(), buffer.size(), 0);
        if (isWouldBlock(count))
            break;
        if (count <= 0) {
            pipe.end();
            break;
        }
        pipe.push(std::string(buffer.data(), static_cast<std::size_t>(count)), now);
    }
    while (!pipe.due(now).empty()) {
        const std::string &bytes = pipe.due(now);
        const ssize_t count = ::send(to.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            each.isClosed = each.isClosed || !isWouldBlock(count);
            return;
        }
        pipe.consume(static_cast<std::size_t>(count));
    }
}

} // namespace lycheeshunt::soak
