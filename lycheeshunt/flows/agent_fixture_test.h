// Test fixture: one agent whose backend server returns packets. Messages and actions are values.

#pragma once

#include "lycheeshunt/flows/decision.h"

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <CppUTest/TestHarness.h>

namespace lycheeshunt::flows::testing {

inline const base::service_id logbook = base::serviceIdOf("logbook");
inline const base::endpoint address {0xc6120001, 443};
inline const base::endpoint entry {0x0a000001, 7720};
constexpr std::uint32_t slots = 7;

inline base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

inline membership::member agentNamed(const std::string &name, std::uint16_t port)
{
    return membership::member {name,
                               "zone-1",
                               membership::member_role::agent,
                               logbook,
                               base::incarnation(1),
                               base::endpoint {0x0a000002, port}};
}

inline base::node_id nodeOf(const std::string &name)
{
    return base::nodeIdOf(name);
}

inline packets::ip_summary summaryOf(std::uint16_t port, bool opens, std::uint16_t payload = 0)
{
    return packets::ip_summary {base::flow_key {base::endpoint {0x64400007, port}, address, 6},
                                opens, false, false, payload};
}

inline packets::ip_summary returnedSummary(const packets::ip_summary &sent)
{
    return packets::ip_summary {sent.key,          sent.opens,      sent.finishes, sent.resets,
                                sent.payloadBytes, sent.isRepeated, true};
}

// The agent under test is "a1"; "a2" and "a3" are others of the service.
struct agent_fixture : public Utest
{
    std::unique_ptr<flow_state> state;
    std::vector<flow_action> actions;
    std::int64_t now = 10'000;
    // Settings that most tests leave out; set before setup().
    std::optional<double> warmupRate;
    std::optional<std::uint32_t> warmupSlack;
    bool reportsSpeed = false;
    bool reportsFailures = false;

    void setup() override
    {
        const membership::member self = agentNamed("a1", 1);
        state = std::make_unique<flow_state>(
            agent_identity {self.id(), logbook, self.incarnation, self.packets, "zone-1", true,
                            warmupSlack, reportsSpeed, reportsFailures});
        receiveView(1);
        setServer(true);
    }

    void receiveView(std::uint64_t generation)
    {
        std::map<base::node_id, membership::member> members;
        for (const membership::member &member :
             {agentNamed("a1", 1), agentNamed("a2", 2), agentNamed("a3", 3)})
            members.emplace(member.id(), member);
        std::map<base::service_id, tickets::service_definition> services;
        services.emplace(
            logbook, tickets::service_definition {"logbook", {}, {.warmupRate = warmupRate}, 64});
        apply(view_update {std::make_shared<const dissemination::cluster_view>(
            dissemination::cluster_view {base::generation(generation), services, members})});
    }

    void apply(const flow_message &message)
    {
        base::step<flow_state, flow_action> next = decide(std::move(*state), message, at(now));
        state = std::make_unique<flow_state>(std::move(next.state));
        actions.swap(next.actions);
    }

    void setServer(bool isAccepting, bool isOlder = false)
    {
        apply(server_changed {base::incarnation(1), isAccepting, slots, isOlder});
    }

    // Load reports of the idle peers, so that they can be offered flows if they accept any.
    void receivePeerReports(bool isAccepting = true)
    {
        for (const char *name : {"a2", "a3"})
            apply(peer_message(placement::load_report {
                nodeOf(name), base::incarnation(1), static_cast<std::uint64_t>(now + 1),
                placement::server_load {admission::slot_counts {slots, 0, 0, 0, false, isAccepting},
                                        0}}));
    }

    forwarded_packet packetFor(const packets::ip_summary &summary, packet_stage stage,
                               std::vector<base::node_id> agents = {}, std::uint8_t hops = 0,
                               const request_class &requestClass = {})
    {
        return forwarded_packet {logbook,
                                 base::incarnation(1),
                                 base::generation(1),
                                 stage,
                                 hops,
                                 summary,
                                 base::packet_bytes("packet"),
                                 entry,
                                 std::move(agents),
                                 false,
                                 requestClass};
    }

    void receiveFromServer(const packets::ip_summary &summary)
    {
        apply(server_answer {summary, base::packet_bytes("answer")});
    }

    template <typename action_type>
    std::vector<action_type> actionsOf() const
    {
        std::vector<action_type> found;
        for (const flow_action &action : actions) {
            if (const action_type *known = std::get_if<action_type>(&action))
                found.push_back(*known);
        }
        return found;
    }

    template <typename message_type>
    std::vector<message_type> sentMessages() const
    {
        std::vector<message_type> found;
        for (const send_to_peer &send : actionsOf<send_to_peer>()) {
            if (const message_type *known = std::get_if<message_type>(&send.message))
                found.push_back(*known);
        }
        return found;
    }

    // A packet of a flow whose director is this agent.
    packets::ip_summary summaryForOwnBucket(bool opens, std::uint16_t payload = 0) const
    {
        for (std::uint16_t port = 1;; ++port) {
            const packets::ip_summary summary = summaryOf(port, opens, payload);
            const routing::target *director = internal::directorOf(*state, summary.key);
            if (director->node == nodeOf("a1"))
                return summary;
        }
    }

    void answerLookups(const base::flow_key &key, const std::vector<std::string> &names,
                       lookup_verdict verdict)
    {
        for (const std::string &name : names) {
            const membership::member member = agentNamed(name, name == "a2" ? 2 : 3);
            apply(peer_message(lookup_answer {
                logbook, key, routing::target {member.id(), member.incarnation, member.packets},
                base::generation(1), verdict, routing::target {}}));
        }
    }
};

} // namespace lycheeshunt::flows::testing
