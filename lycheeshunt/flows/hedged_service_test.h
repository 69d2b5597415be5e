// Test fixture: the agents of one service, their servers, a caller and two entries, connected in
// virtual time. The entries keep hints as real ones do. The first one gets the opening packet and
// sends a second copy of it on the test's call.

#pragma once

#include "lycheeshunt/flows/agent_fixture_test.h"
#include "lycheeshunt/routing/steering.h"

#include <deque>
#include <set>

namespace lycheeshunt::flows::testing {

struct hedged_service : public Utest
{
    std::size_t resets = 0;
    // Packets that an agent has reported to an entry as of no flow, without doubt: the entry may
    // reset the caller.
    std::size_t denied = 0;
    // The agents whose servers got the opening packet, in this order.
    std::vector<std::size_t> openedAt;
    // The agents whose servers got other packets of the caller, in this order.
    std::vector<std::size_t> triedAt;
    // The agent whose server answered first: the caller has acknowledged this answer.
    std::optional<std::size_t> chosen;
    // Requests that the caller's server has answered.
    std::size_t served = 0;
    // Servers that answer nothing.
    std::set<std::size_t> silentServers;
    // Whether the entries get no hints.
    bool losesHints = false;

    // The flow's director is agent 0, and its backup is agent 1 if there are several.
    void startAgents(std::size_t count)
    {
        reset();
        std::map<base::node_id, membership::member> members;
        for (std::size_t i = 0; i < count; ++i) {
            const membership::member member
                = agentNamed("a" + std::to_string(i), static_cast<std::uint16_t>(i + 1));
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
            handle(i, view_update {view});
            setServer(i, true);
        }
        chooseKey();
        // The agents exchange load reports first.
        run(base::clock_time::ofSeconds(1));
    }

    void setServer(std::size_t agent, bool isAccepting)
    {
        handle(agent, server_changed {base::incarnation(1), isAccepting, slots});
    }

    const base::flow_key &key() const { return *m_key; }
    const flow_state &stateOf(std::size_t agent) const { return *m_states[agent]; }
    const owned_flow *flowAt(std::size_t agent) const { return stateOf(agent).owned.find(key()); }

    // The owner of the flow in this agent's directory.
    std::optional<std::size_t> registeredAt(std::size_t agent) const
    {
        const directory_entry *found = stateOf(agent).directory.find(key());
        return found == nullptr ? std::nullopt
                                : std::make_optional(m_numbers.at(found->owner.packets));
    }

    void open() { sendOpening(0, false, false); }
    void hedge() { sendOpening(backup(), false, true); }
    // The caller's own copy, after 200 ms.
    void repeatOpening() { sendOpening(backup(), true, false); }

    // A request of the caller through the first entry, or through the other one.
    void request() { sendRequest(entry); }
    void requestByOtherEntry() { sendRequest(otherEntry); }

    // The server answers the opening packet late, or repeats its answer.
    void answerOpening(std::size_t agent)
    {
        handle(agent, server_answer {packets::ip_summary {key()}, base::packet_bytes("answer")});
        deliverAll();
    }

    void run(base::clock_time span)
    {
        const base::clock_time end = m_now + span;
        while (m_now < end) {
            m_now = m_now + step;
            if (m_now.millis() % tickInterval.millis() == 0) {
                for (std::size_t i = 0; i < m_states.size(); ++i)
                    handle(i, tick {});
            }
            deliverAll();
        }
    }

private:
    static constexpr base::endpoint otherEntry {0x0a000001, 7721};
    static constexpr std::uint16_t requestBytes = 100;
    static constexpr std::uint16_t answerBytes = 200;
    static constexpr std::size_t maxDeliveries = 10'000;
    static constexpr base::clock_time step = base::clock_time::ofMillis(10);
    static constexpr base::clock_time tickInterval = base::clock_time::ofMillis(100);

    void reset()
    {
        resets = 0;
        denied = 0;
        openedAt.clear();
        triedAt.clear();
        chosen.reset();
        served = 0;
        silentServers.clear();
        losesHints = false;
        m_states.clear();
        m_numbers.clear();
        m_network.clear();
        m_packets.clear();
        m_hints.clear();
        m_key.reset();
    }

    std::size_t backup() const { return m_states.size() > 1 ? 1 : 0; }

    void chooseKey()
    {
        const base::node_id first = m_states.front()->identity->node;
        const base::node_id second = m_states[backup()]->identity->node;
        for (std::uint16_t port = 1; !m_key; ++port) {
            const base::flow_key candidate = summaryOf(port, true).key;
            if (internal::directorOf(*m_states.front(), candidate)->node == first
                && internal::backupOf(*m_states.front(), candidate)->node == second)
                m_key.emplace(candidate);
        }
    }

    void sendOpening(std::size_t to, bool isRepeated, bool isDoubtful)
    {
        send(entry, to, packets::ip_summary {key(), true, false, false, 0, isRepeated},
             packet_stage::toDirector, isDoubtful);
    }

    void sendRequest(const base::endpoint &through)
    {
        const routing::flow_hint *hint = m_hints[through].find(key());
        const std::size_t to = hint != nullptr ? m_numbers.at(hint->owner.packets) : 0;
        const packets::ip_summary data {key(),        false, false, false,
                                        requestBytes, false, false, m_sequence};
        m_sequence += requestBytes;
        send(through, to, data, hint != nullptr ? packet_stage::toOwner : packet_stage::toDirector,
             false);
    }

    void send(const base::endpoint &through, std::size_t to, const packets::ip_summary &summary,
              packet_stage stage, bool isDoubtful)
    {
        handle(to,
               forwarded_packet {logbook,
                                 base::incarnation(1),
                                 base::generation(1),
                                 stage,
                                 0,
                                 summary,
                                 addPacket(summary),
                                 through,
                                 {},
                                 isDoubtful});
        deliverAll();
    }

    // Stores a packet and returns bytes that refer to it.
    base::packet_bytes addPacket(const packets::ip_summary &packet)
    {
        m_packets.push_back(packet);
        return base::packet_bytes(std::to_string(m_packets.size() - 1));
    }

    void deliverAll()
    {
        std::size_t delivered = 0;
        while (!m_network.empty()) {
            // A packet that is forwarded in a circle would keep this loop running.
            CHECK(++delivered < maxDeliveries);
            const std::pair<base::endpoint, flow_message> next = std::move(m_network.front());
            m_network.pop_front();
            const auto found = m_numbers.find(next.first);
            if (found != m_numbers.end())
                handle(found->second, next.second);
            else
                handleAtEntry(m_hints[next.first], next.second);
        }
    }

    void handleAtEntry(routing::flow_hints &hints, const flow_message &message)
    {
        if (const forwarded_packet *unknown = std::get_if<forwarded_packet>(&message)) {
            hints.erase(unknown->summary.key);
            denied += unknown->isDoubtful ? 0 : 1;
        } else if (!losesHints)
            takeHint(hints, std::get<peer_message>(message));
    }

    void takeHint(routing::flow_hints &hints, const peer_message &message)
    {
        if (const opening_hint *opening = std::get_if<opening_hint>(&message))
            routing::takeOpeningHint(hints, opening->key,
                                     routing::flow_hint {opening->service, opening->owner, m_now});
        else if (const owner_hint *owner = std::get_if<owner_hint>(&message))
            hints.put(owner->key, routing::flow_hint {owner->service, owner->owner, m_now});
        else if (const hint_withdrawn *withdrawn = std::get_if<hint_withdrawn>(&message))
            routing::withdrawHint(hints, withdrawn->key, withdrawn->node);
    }

    void handle(std::size_t agent, const flow_message &message)
    {
        base::step<flow_state, flow_action> next
            = decide(std::move(*m_states[agent]), message, m_now);
        CHECK_FALSE(next.fault.has_value());
        m_states[agent] = std::make_unique<flow_state>(std::move(next.state));
        for (const flow_action &action : next.actions)
            carryOut(agent, action);
    }

    void carryOut(std::size_t agent, const flow_action &action)
    {
        if (const send_packet *sent = std::get_if<send_packet>(&action))
            m_network.emplace_back(sent->to, sent->packet);
        else if (const send_to_peer *peer = std::get_if<send_to_peer>(&action))
            m_network.emplace_back(peer->to, peer->message);
        else if (const deliver_to_server *delivered = std::get_if<deliver_to_server>(&action))
            deliver(agent, delivered->bytes);
        else if (std::holds_alternative<answer_caller>(action) && !chosen)
            chosen.emplace(agent);
        else if (std::holds_alternative<reset_caller>(action))
            ++resets;
    }

    // What the server does with the packet: it answers, returns the packet, or is silent.
    void deliver(std::size_t agent, const base::packet_bytes &bytes)
    {
        const packets::ip_summary packet = m_packets[std::stoul(std::string(bytes.view()))];
        (packet.opens ? openedAt : triedAt).push_back(agent);
        if (silentServers.count(agent) > 0)
            return;
        const bool isRefused = !packet.opens && chosen != agent;
        served += !packet.opens && !isRefused ? 1 : 0;
        const packets::ip_summary answer {key(), false, false, false,
                                          std::uint16_t(packet.opens ? 0 : answerBytes)};
        const packets::ip_summary returned {
            key(), false, false, false, packet.payloadBytes, false, true, packet.sequence};
        m_network.emplace_back(stateOf(agent).identity->packets,
                               isRefused ? server_answer {returned, bytes}
                                         : server_answer {answer, base::packet_bytes("answer")});
    }

    std::vector<std::unique_ptr<flow_state>> m_states;
    std::map<base::endpoint, std::size_t> m_numbers;
    std::deque<std::pair<base::endpoint, flow_message>> m_network;
    // By the address of the entry.
    std::map<base::endpoint, routing::flow_hints> m_hints;
    // The bytes of a packet are its index here.
    std::vector<packets::ip_summary> m_packets;
    std::optional<base::flow_key> m_key;
    std::uint32_t m_sequence = 1;
    base::clock_time m_now = at(10'000);
};

} // namespace lycheeshunt::flows::testing
