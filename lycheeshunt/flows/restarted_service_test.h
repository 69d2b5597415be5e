// Test fixture: the agents of one service that have all restarted beside backend servers that run
// on, connected through the real encoding, in virtual time. An entry notes what it is told.

#pragma once

#include "lycheeshunt/flows/agent_fixture_test.h"
#include "lycheeshunt/flows/codec.h"

#include <deque>
#include <set>
#include <sstream>

namespace lycheeshunt::flows::testing {

// Packets as text: caller's port, payload bytes.
inline base::result<packets::ip_summary> summarizeText(std::string_view bytes, packets::direction)
{
    std::istringstream text {std::string(bytes)};
    std::uint16_t port = 0;
    std::uint16_t payloadBytes = 0;
    text >> port >> payloadBytes;
    return summaryOf(port, false, payloadBytes);
}

inline const packets::packet_codec textPackets {
    summarizeText, [](std::string_view) { return std::string(); },
    [](std::string bytes) { return bytes; },
    [](const base::flow_key &key, const base::endpoint &) { return key.caller; }};

struct restarted_service : public Utest
{
    // What the entry is told of a flow, and how often the flow's packets reached its server.
    std::size_t deniedCertain = 0;
    std::size_t deniedDoubtful = 0;
    std::size_t resets = 0;
    std::size_t served = 0;
    std::size_t returned = 0;

    // The caller's port names the flow.
    std::uint16_t callerPort = 1000;

    packets::ip_summary packet() const { return summaryOf(callerPort, false, payload); }

    void startAgents(std::size_t count)
    {
        m_states.clear();
        m_numbers.clear();
        m_network.clear();
        m_atServers.clear();
        m_returnTimes.clear();
        setDeadAgent(std::nullopt);
        std::map<base::node_id, membership::member> members;
        for (std::size_t i = 0; i < count; ++i) {
            const membership::member member
                = agentNamed("agent-" + std::to_string(i), static_cast<std::uint16_t>(i + 1));
            members.emplace(member.id(), member);
            m_numbers.emplace(member.packets, i);
            m_states.push_back(std::make_unique<flow_state>(agent_identity {
                member.id(), logbook, member.incarnation, member.packets, "zone-1", true}));
        }
        std::map<base::service_id, tickets::service_definition> services;
        services.emplace(logbook, tickets::service_definition {"logbook", {}, {}, 64});
        const dissemination::shared_view view = std::make_shared<const dissemination::cluster_view>(
            dissemination::cluster_view {base::generation(1), services, members});
        for (std::size_t i = 0; i < count; ++i) {
            setServerAge(i, true);
            handle(i, view_update {view});
        }
        // Recovery from the other agents ends first.
        run(base::clock_time::ofSeconds(2));
    }

    void setServerAge(std::size_t agent, bool isOlder)
    {
        handle(agent, server_changed {base::incarnation(1), true, slots, isOlder});
    }

    // The server beside this agent holds the flow.
    void setOwner(std::size_t agent) { m_owner = agent; }

    // The servers beside these agents neither answer nor return packets.
    void setSilentServers(const std::set<std::size_t> &agents) { m_silentServers = agents; }

    // This agent's process has ended, but is still in the view.
    void setDeadAgent(std::optional<std::size_t> agent)
    {
        m_deadAgent.reset();
        if (agent)
            m_deadAgent.emplace(*agent);
    }

    std::vector<std::size_t> agentsByIdentifier() const
    {
        std::map<base::node_id, std::size_t> ordered;
        for (std::size_t i = 0; i < m_states.size(); ++i)
            ordered.emplace(m_states[i]->identity->node, i);
        std::vector<std::size_t> agents;
        agents.reserve(ordered.size());
        for (const auto &[node, agent] : ordered)
            agents.push_back(agent);
        return agents;
    }

    // The time between the first and the last packet that a server returned.
    base::clock_time lastReturnAfterFirst() const
    {
        return m_returnTimes.empty() ? base::clock_time()
                                     : m_returnTimes.back() - m_returnTimes.front();
    }

    // The agent has stored a registration of the flow by another agent.
    void registerAt(std::size_t agent, std::size_t owner)
    {
        const agent_identity &self = *m_states[owner]->identity;
        handle(agent,
               peer_message(
                   registration_batch {logbook,
                                       routing::target {self.node, self.incarnation, self.packets},
                                       base::generation(1),
                                       1,
                                       {registered_flow {packet().key, true}}}));
    }

    // A packet of the flow arrives through an entry that has no hint.
    void sendPacket() { sendTo(director(), packet_stage::toDirector); }

    void sendTo(std::size_t agent, packet_stage stage, std::vector<base::node_id> listed = {})
    {
        const std::string bytes = std::to_string(callerPort) + " " + std::to_string(payload);
        handle(agent,
               forwarded_packet {logbook, base::incarnation(1), base::generation(1), stage, 0,
                                 packet(), base::packet_bytes(bytes), entry, std::move(listed)});
    }

    std::size_t director() const
    {
        return m_numbers.at(internal::directorOf(*m_states.front(), packet().key)->packets);
    }

    void run(base::clock_time span)
    {
        const base::clock_time end = m_now + span;
        while (m_now < end) {
            deliverAll();
            m_now = m_now + serverTime;
            answerFromServers();
            if (m_now < m_nextTick)
                continue;
            m_nextTick = m_now + tickInterval;
            for (std::size_t i = 0; i < m_states.size(); ++i)
                handle(i, tick {});
        }
        deliverAll();
    }

private:
    static constexpr std::uint16_t payload = 10;
    static constexpr std::uint16_t answerBytes = 200;
    static constexpr std::size_t maxDeliveries = 100'000;
    static constexpr base::clock_time serverTime = base::clock_time::ofMillis(10);
    static constexpr base::clock_time tickInterval = base::clock_time::ofMillis(100);

    void deliverAll()
    {
        std::size_t delivered = 0;
        while (!m_network.empty()) {
            // A packet that never comes to rest would keep this loop running.
            CHECK(++delivered < maxDeliveries);
            const std::pair<base::endpoint, std::string> next = m_network.front();
            m_network.pop_front();
            const base::result<flow_datagram> decoded = decodeDatagram(next.second, textPackets);
            CHECK(base::isOk(decoded));
            const flow_datagram &datagram = base::valueOf(decoded);
            if (next.first == entry)
                noteAtEntry(datagram);
            else
                std::visit(
                    [&](const auto &message) {
                        handle(m_numbers.at(next.first), flow_message(message));
                    },
                    datagram);
        }
    }

    void noteAtEntry(const flow_datagram &datagram)
    {
        const forwarded_packet *denied = std::get_if<forwarded_packet>(&datagram);
        if (denied != nullptr)
            ++(denied->isDoubtful ? deniedDoubtful : deniedCertain);
    }

    void handle(std::size_t agent, const flow_message &message)
    {
        if (m_deadAgent == agent)
            return;
        base::step<flow_state, flow_action> next
            = decide(std::move(*m_states[agent]), message, m_now);
        m_states[agent] = std::make_unique<flow_state>(std::move(next.state));
        for (const flow_action &action : next.actions)
            carryOut(agent, action);
    }

    void carryOut(std::size_t agent, const flow_action &action)
    {
        if (const send_packet *sent = std::get_if<send_packet>(&action))
            m_network.emplace_back(sent->to, encodePacket(sent->packet));
        else if (const send_to_peer *peer = std::get_if<send_to_peer>(&action))
            m_network.emplace_back(peer->to, encodePeer(peer->message));
        else if (const deliver_to_server *delivered = std::get_if<deliver_to_server>(&action))
            m_atServers.emplace_back(agent, delivered->bytes);
        else if (std::holds_alternative<reset_caller>(action))
            ++resets;
    }

    void answerFromServers()
    {
        std::deque<std::pair<std::size_t, base::packet_bytes>> delivered;
        delivered.swap(m_atServers);
        for (const auto &[agent, bytes] : delivered) {
            if (m_silentServers.count(agent) > 0)
                continue;
            const bool isHeld = m_owner == agent;
            ++(isHeld ? served : returned);
            if (!isHeld)
                m_returnTimes.push_back(m_now);
            const packets::ip_summary answer
                = isHeld ? summaryOf(callerPort, false, answerBytes) : returnedSummary(packet());
            handle(agent, server_answer {answer, bytes});
        }
    }

    std::vector<std::unique_ptr<flow_state>> m_states;
    std::map<base::endpoint, std::size_t> m_numbers;
    std::deque<std::pair<base::endpoint, std::string>> m_network;
    // Packets at the servers, with the agent beside each.
    std::deque<std::pair<std::size_t, base::packet_bytes>> m_atServers;
    std::vector<base::clock_time> m_returnTimes;
    std::optional<std::size_t> m_owner;
    std::set<std::size_t> m_silentServers;
    std::optional<std::size_t> m_deadAgent;
    base::clock_time m_now = at(10'000);
    base::clock_time m_nextTick = m_now;
};

} // namespace lycheeshunt::flows::testing
