// Agents, entries, backend servers and callers for the tests of the flow decisions, connected by a
// fake network, in virtual time.
//
//     fake_cluster cluster(seed, fake_network::faults {0.02});
//     cluster.membership().define("logbook", {address}, 2000);
//     cluster.addAgent("logbook-1", "logbook", "zone-1");
//     cluster.publish();
//     cluster.openFlows(address, 100);
//     cluster.run(base::clock_time::ofSeconds(2));

#pragma once

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/flows/decision.h"
#include "lycheeshunt/flows/fake_callers_test.h"
#include "lycheeshunt/flows/fake_membership_test.h"
#include "lycheeshunt/flows/fake_network_test.h"
#include "lycheeshunt/flows/fake_server_test.h"
#include "lycheeshunt/routing/routing_table.h"

#include <optional>

namespace lycheeshunt::flows {

class fake_cluster
{
public:
    fake_cluster(std::uint64_t seed, const fake_network::faults &faults, std::size_t entries = 3)
        : m_network(seed, faults), m_entries(entries)
    {
        m_network.at(m_network.now(), [this]() { tickAll(); });
    }

    fake_membership &membership() { return m_membership; }
    fake_callers &callers() { return m_callers; }
    fake_network &network() { return m_network; }
    void run(base::clock_time span) { m_network.run(span); }

    void addAgent(const std::string &name, const std::string &service, const std::string &zone)
    {
        const base::endpoint packets {0x7f000001, std::uint16_t(m_agents.size() + 1)};
        agent &added = m_agents[name];
        added.server.emplace(service);
        m_names.emplace(packets, name);
        start(added, m_membership.join(name, service, zone, packets));
    }

    // Delivers the latest view to all agents and entries, to each at a random time.
    void publish(base::clock_time within = base::clock_time::ofMillis(200))
    {
        const dissemination::shared_view view = m_membership.view();
        const routing::shared_table table = std::make_shared<const routing::routing_table>(*view);
        for (entry &each : m_entries) {
            entry *to = &each;
            m_network.atRandomTimeWithin(within, [to, table]() {
                if (!to->frozen && table->at() > to->table->at())
                    to->table = table;
            });
        }
        for (auto it = m_agents.begin(); it != m_agents.end(); ++it) {
            agent *to = &it->second;
            m_network.atRandomTimeWithin(within, [this, to, view]() {
                if (!to->frozen)
                    handleMessage(*to, view_update {view});
            });
        }
    }

    // A frozen entry or agent receives no new views.
    void freezeEntry(std::size_t index, bool frozen) { m_entries[index].frozen = frozen; }
    void freezeAgent(const std::string &name, bool frozen) { m_agents.at(name).frozen = frozen; }

    // Packets to a dead entry are lost. An entry that joins has no routing table yet.
    void killEntry(std::size_t index) { m_entries[index].alive = false; }
    void joinEntry(std::size_t index) { m_entries[index] = entry {}; }

    // Ends the agent and its backend server.
    void killVm(const std::string &name)
    {
        m_agents.at(name).state.reset();
        m_agents.at(name).server->removeConnections();
    }

    void restartAgent(const std::string &name)
    {
        agent &which = m_agents.at(name);
        const membership::member old = *which.self;
        start(which,
              m_membership.join(name, which.server->service(), old.availabilityZone, old.packets));
    }

    void restartServer(const std::string &name) { m_agents.at(name).server->removeConnections(); }

    // The VM restarts with a new agent and a new server, for this service.
    void replaceVm(const std::string &name, const std::string &service)
    {
        m_agents.at(name).server.emplace(service);
        restartAgent(name);
    }

    std::vector<std::size_t> openFlows(const base::endpoint &address, std::size_t count)
    {
        std::vector<std::size_t> opened;
        for (std::size_t i = 0; i < count; ++i) {
            opened.push_back(m_callers.open(address, m_network.now()));
            m_firstService.emplace(m_callers.keyOf(opened.back()), m_membership.serviceAt(address));
        }
        return opened;
    }

    // Sends a packet through one entry.
    void sendThrough(std::size_t index, const packets::ip_summary &summary)
    {
        if (!m_entries[index].alive)
            return;
        const routing::routing_outcome outcome = m_entries[index].table->routeOf(summary.key);
        if (const routing::route *found = std::get_if<routing::route>(&outcome))
            send(found->to.packets,
                 forwarded_packet {found->service, found->to.incarnation, found->at,
                                   packet_stage::toDirector, 0, summary, addPacket(summary, {})});
    }

    // Lets an agent handle a message at once.
    void inject(const std::string &name, const flow_message &message)
    {
        handleMessage(m_agents.at(name), message);
    }

    // Stores a packet and returns bytes that refer to it.
    base::packet_bytes addPacket(const packets::ip_summary &packet, const std::string &server)
    {
        m_packets.emplace_back(packet, server);
        return base::packet_bytes(std::to_string(m_packets.size() - 1));
    }

    void sendFromServer(std::size_t caller)
    {
        agent &owner = m_agents.at(m_callers[caller].server);
        const std::optional<packets::ip_summary> sent = owner.server->send(m_callers.keyOf(caller));
        if (sent)
            handleServerAnswer(owner, *sent);
    }

    // Bytes of all messages between agents, with IP and UDP headers.
    std::uint64_t peerBytes() const { return m_peerBytes; }

    // Packets that reached a server of a service other than the one their flow was opened for.
    std::size_t wrongService() const { return m_wrongService; }

    std::size_t refusals(base::error_code reason) const
    {
        const auto found = m_refusals.find(reason);
        return found == m_refusals.end() ? 0 : found->second;
    }

    bool isAlive(const std::string &name) const { return m_agents.at(name).state.has_value(); }
    const flow_state &stateOf(const std::string &name) const { return *m_agents.at(name).state; }
    const membership::member &memberOf(const std::string &name) const
    {
        return *m_agents.at(name).self;
    }
    bool serverHas(const std::string &name, const base::flow_key &key) const
    {
        return m_agents.at(name).server->has(key);
    }

    std::vector<std::string> agentsOf(const std::string &service) const
    {
        return agentsMatching([&service](const membership::member &member) {
            return member.service == base::serviceIdOf(service);
        });
    }

    std::vector<std::string> agentsIn(const std::string &zone) const
    {
        return agentsMatching(
            [&zone](const membership::member &member) { return member.availabilityZone == zone; });
    }

private:
    struct agent
    {
        std::optional<membership::member> self = {};
        // Empty while the process is not running.
        std::optional<flow_state> state = {};
        std::optional<fake_server> server = {};
        bool frozen = false;
    };
    struct entry
    {
        routing::shared_table table = std::make_shared<const routing::routing_table>();
        bool frozen = false;
        bool alive = true;
    };

    std::vector<std::string>
    agentsMatching(const std::function<bool(const membership::member &)> &match) const
    {
        std::vector<std::string> names;
        for (auto it = m_agents.begin(); it != m_agents.end(); ++it) {
            if (match(*it->second.self))
                names.push_back(it->first);
        }
        return names;
    }

    void start(agent &which, const membership::member &self)
    {
        which.self.emplace(self);
        which.state.emplace(
            agent_identity {self.id(), self.service, self.incarnation, self.packets});
    }

    void send(const base::endpoint &to, const flow_message &message)
    {
        m_network.send([this, to, message]() {
            const auto name = m_names.find(to);
            if (name != m_names.end())
                handleMessage(m_agents.at(name->second), message);
        });
    }

    void handleMessage(agent &to, const flow_message &message)
    {
        if (!to.state)
            return;
        base::step<flow_state, flow_action> next
            = decide(std::move(*to.state), message, m_network.now());
        to.state.emplace(std::move(next.state));
        for (const flow_action &action : next.actions)
            carryOut(to, action);
    }

    void carryOut(agent &from, const flow_action &action)
    {
        std::visit(base::overloaded {
                       [&](const send_packet &sent) { send(sent.to, sent.packet); },
                       [&](const send_to_peer &sent) {
                           m_peerBytes += encodePeer(sent.message).size() + datagramHeaderBytes;
                           send(sent.to, sent.message);
                       },
                       [&](const deliver_to_server &sent) { deliver(from, sent.bytes); },
                       [&](const answer_caller &sent) { answer(sent.bytes); },
                       [&](const reset_caller &sent) { reset(sent); },
                       [&](const refuse_packet &sent) { ++m_refusals[sent.reason]; },
                       [](const flow_event &) {},
                       [](const request_timing &) {},
                   },
                   action);
    }

    std::size_t indexOf(const base::packet_bytes &bytes) const
    {
        return std::stoul(std::string(bytes.view()));
    }

    void deliver(agent &to, const base::packet_bytes &bytes)
    {
        const packets::ip_summary packet = m_packets[indexOf(bytes)].first;
        const auto first = m_firstService.find(packet.key);
        if (first != m_firstService.end() && first->second != to.self->service)
            ++m_wrongService;
        handleServerAnswer(to, to.server->handle(packet));
    }

    void handleServerAnswer(agent &from, const packets::ip_summary &answer)
    {
        const server_answer received {answer, addPacket(answer, from.self->name)};
        agent *to = &from;
        m_network.at(m_network.now(), [this, to, received]() { handleMessage(*to, received); });
    }

    void answer(const base::packet_bytes &bytes)
    {
        const std::size_t index = indexOf(bytes);
        m_network.send([this, index]() {
            const std::pair<packets::ip_summary, std::string> &packet = m_packets[index];
            fake_caller *to = m_callers.find(packet.first.key);
            if (to != nullptr && packet.first.resets)
                to->handleReset();
            else if (to != nullptr)
                to->handleAnswer(packet.second);
        });
    }

    void reset(const reset_caller &sent)
    {
        ++m_refusals[sent.reason];
        const base::flow_key key = m_packets[indexOf(sent.callerPacket)].first.key;
        m_network.send([this, key]() {
            if (fake_caller *to = m_callers.find(key))
                to->handleReset();
        });
    }

    void tickAll()
    {
        constexpr base::clock_time tickEvery = base::clock_time::ofMillis(100);
        for (auto it = m_agents.begin(); it != m_agents.end(); ++it)
            handleMessage(it->second, tick {});
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            if (m_callers[i].isDue(m_network.now()))
                sendThrough(m_network.random(m_entries.size() - 1), m_callers.summaryOf(i));
        }
        m_network.at(m_network.now() + tickEvery, [this]() { tickAll(); });
    }

    static constexpr std::size_t datagramHeaderBytes = 28;

    fake_network m_network;
    fake_membership m_membership;
    fake_callers m_callers;
    std::map<std::string, agent> m_agents;
    std::map<base::endpoint, std::string> m_names;
    std::vector<entry> m_entries;
    std::map<base::flow_key, base::service_id> m_firstService;
    // The bytes of a packet are its index here. An answer is stored with the name of its agent.
    std::vector<std::pair<packets::ip_summary, std::string>> m_packets;
    std::map<base::error_code, std::size_t> m_refusals;
    std::size_t m_wrongService = 0;
    std::uint64_t m_peerBytes = 0;
};

} // namespace lycheeshunt::flows
