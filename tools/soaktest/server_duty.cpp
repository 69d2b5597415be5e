#include "tools/soaktest/server_duty.h"

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/packets/datagram_io.h"

#include <poll.h>

#include <stdexcept>

namespace lycheeshunt::soak {

server_duty::server_duty(const std::map<std::string, process_addresses> &agents, event_sink sink)
    : m_sink(std::move(sink))
{
    constexpr std::uint32_t sequenceDistance = 1'000'000;
    for (auto it = agents.begin(); it != agents.end(); ++it) {
        base::result<base::file_descriptor> socket = base::openDatagramSocket(it->second.far);
        if (const base::error *failure = base::errorOf(socket))
            throw std::runtime_error(failure->text());
        const std::uint32_t number = static_cast<std::uint32_t>(m_servers.size()) + 1;
        m_servers.push_back({it->first, base::takeValue(std::move(socket)), it->second.side,
                             server_model(it->first, number * sequenceDistance)});
        m_openFlows[it->first] = 0;
    }
    m_thread = std::thread([this]() { run(); });
}

server_duty::~server_duty()
{
    m_inbox.close();
    m_thread.join();
}

void server_duty::run()
{
    std::vector<pollfd> watched;
    for (const server &each : m_servers)
        watched.push_back({each.socket.get(), POLLIN, 0});
    watched.push_back({m_inbox.descriptor(), POLLIN, 0});
    while (!m_inbox.isClosed()) {
        ::poll(watched.data(), watched.size(), -1);
        for (server &each : m_servers)
            receive(each);
    }
}

void server_duty::receive(server &receiver)
{
    while (const std::optional<std::string> bytes
           = packets::receiveDatagram(receiver.socket.get())) {
        const stand_in_output output = receiver.model.receive(*bytes);
        m_openFlows.at(receiver.name) = receiver.model.openFlows();
        for (const observation &seen : output.observations)
            m_sink(seen);
        for (const std::string &packet : output.packets)
            packets::sendDatagram(receiver.socket.get(), receiver.agent, packet);
    }
}

} // namespace lycheeshunt::soak
