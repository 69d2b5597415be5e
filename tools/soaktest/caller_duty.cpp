#include "tools/soaktest/caller_duty.h"

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/packets/datagram_io.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <stdexcept>

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

constexpr int tickMillis = 10;
constexpr clock_time entryRetryDelay = clock_time::ofMillis(500);

} // namespace

caller_duty::caller_duty(base::file_descriptor socket, const std::vector<base::endpoint> &entries,
                         caller_model model, std::uint64_t seed, event_sink sink)
    : m_socket(std::move(socket)), m_model(std::move(model)), m_random(seed),
      m_sink(std::move(sink))
{
    for (const base::endpoint &entry : entries) {
        base::result<base::file_descriptor> link
            = base::openDatagramSocket(base::endpoint {INADDR_LOOPBACK, 0});
        const sockaddr_in raw = base::toSocketAddress(entry);
        if (!base::isOk(link)
            || ::connect(base::valueOf(link).get(), reinterpret_cast<const sockaddr *>(&raw),
                         sizeof raw)
                != 0)
            throw std::runtime_error("can't connect to " + entry.text());
        m_entries.push_back({base::takeValue(std::move(link)), clock_time()});
    }
    m_thread = std::thread([this]() { run(); });
}

caller_duty::~caller_duty()
{
    m_inbox.close();
    m_thread.join();
}

void caller_duty::finish()
{
    m_openFlows = 1; // at least one until the thread has counted
    m_inbox.push(command::finish);
}

void caller_duty::reportUnanswered()
{
    m_inbox.push(command::reportUnanswered);
}

void caller_duty::run()
{
    while (!m_inbox.isClosed()) {
        pollfd watched[] = {{m_socket.get(), POLLIN, 0}, {m_inbox.descriptor(), POLLIN, 0}};
        ::poll(watched, std::size(watched), tickMillis);
        if (const std::optional<command> next = m_inbox.tryPop()) {
            if (*next == command::finish)
                m_model.finish();
            else
                handle({{}, m_model.unanswered()});
        }
        while (const std::optional<std::string> bytes = packets::receiveDatagram(m_socket.get()))
            handle(m_model.receive(*bytes, clock_time::steady()));
        handle(m_model.tick(clock_time::steady()));
        m_openFlows = m_model.openFlows();
        m_answers = m_model.answers();
    }
}

void caller_duty::handle(const stand_in_output &output)
{
    for (const observation &seen : output.observations)
        m_sink(seen);
    for (const std::string &packet : output.packets)
        send(packet);
}

void caller_duty::send(const std::string &packet)
{
    const clock_time now = clock_time::steady();
    const std::size_t first = m_random() % m_entries.size();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        entry_link &link = m_entries[(first + i) % m_entries.size()];
        if (now < link.downUntil)
            continue;
        if (::send(link.socket.get(), packet.data(), packet.size(), MSG_NOSIGNAL) >= 0)
            return;
        link.downUntil = now + entryRetryDelay;
    }
}

} // namespace lycheeshunt::soak
