// Measures what the first views of 100 nodes cost after all processes ended: the leader's decisions
// and encoding, and the work of one entry. Prints one JSON object per line.

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/decision.h"
#include "lycheeshunt/dissemination/follower_decision.h"
#include "lycheeshunt/dissemination/piece_encoder.h"
#include "lycheeshunt/routing/routing_table.h"
#include "lycheeshunt/states/desired_state.h"
#include "tools/measurements/measurement.h"

#include <netinet/in.h>

#include <ctime>
#include <deque>

namespace {

using namespace lycheeshunt;
using namespace lycheeshunt::dissemination;
using measurements::report;

constexpr std::uint32_t entries = 20;
constexpr std::uint32_t agents = 80;
constexpr base::clock_time now = base::clock_time::ofSeconds(1);

membership::member nodeAt(std::uint32_t index)
{
    const bool isEntry = index < entries;
    const std::string service = index % 2 == 0 ? "inspect" : "logbook";
    return membership::member {(isEntry ? "entry-" : "agent-") + std::to_string(index),
                               "zone-" + std::to_string(index % 3),
                               isEntry ? membership::member_role::entry
                                       : membership::member_role::agent,
                               isEntry ? base::service_id() : base::serviceIdOf(service),
                               base::incarnation(1),
                               base::endpoint {0x0a000000 + index, 7500},
                               membership::member_phase::serving};
}

states::shared_state stateOf(std::uint32_t routes)
{
    const tickets::service_definition inspect {"inspect", {}, tickets::service_limits {}, 128};
    const tickets::service_definition logbook {"logbook", {}, tickets::service_limits {}, 128};
    std::vector<tickets::address_route> all;
    for (std::uint32_t i = 0; i < routes; ++i) {
        const base::endpoint where {0xc6120000 + i / 100, static_cast<std::uint16_t>(1 + i % 100)};
        all.push_back(tickets::address_route {
            tickets::service_address {where, IPPROTO_TCP},
            {tickets::route_share {inspect.id(), 3}, tickets::route_share {logbook.id(), 1}},
            {},
            tickets::request_kind::idempotent,
            base::clock_time::ofMillis(2000),
            base::clock_time::ofMillis(500),
            1});
    }
    return std::make_shared<const states::desired_state>(
        states::desired_state {1, "", {inspect, logbook}, std::move(all)});
}

// Processor time of the thread.
double cpuMillis()
{
    timespec spent {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * 1e3 + static_cast<double>(spent.tv_nsec) / 1e6;
}

class cold_start
{
public:
    explicit cold_start(std::uint32_t routes)
    {
        std::vector<membership::member> members;
        for (std::uint32_t i = 0; i < entries + agents; ++i)
            members.push_back(nodeAt(i));
        toPublisher(entries_merged {base::generation(5), membership::membership_batch {members, {}},
                                    stateOf(routes)});
        m_leaderMillis = 0;
        for (const membership::member &member : members)
            m_nodes.push_back(makeFollowerState(member));
    }

    void run()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            toNode(i, link_opened {streams::connection_id(i)});
        while (!m_toPublisher.empty() || !m_toNodes.empty()) {
            while (!m_toPublisher.empty()) {
                const auto [connection, bytes] = m_toPublisher.front();
                m_toPublisher.pop_front();
                ++m_requests;
                const double start = cpuMillis();
                const base::result<node_message> message = decodeNodeMessage(bytes);
                m_leaderMillis += cpuMillis() - start;
                if (base::isOk(message))
                    toPublisher(node_message_received {streams::connection_id(connection),
                                                       base::valueOf(message)});
            }
            while (!m_toNodes.empty()) {
                const auto [connection, bytes] = m_toNodes.front();
                m_toNodes.pop_front();
                const double start = cpuMillis();
                const control_message message = base::valueOf(decodeControlMessage(bytes));
                if (connection == 0)
                    m_decodeMillis += cpuMillis() - start;
                toNode(connection, control_message_received {message});
            }
        }
    }

    void print(const std::string &suffix) const
    {
        const publisher_counts &counts = m_publisher.counts;
        report("cold_start_leader_" + suffix, m_leaderMillis, "ms");
        report("cold_start_messages_to_leader_" + suffix, static_cast<double>(m_requests),
               "messages");
        report("cold_start_pieces_" + suffix, static_cast<double>(counts.snapshotPieces), "pieces");
        report("cold_start_cut_" + suffix,
               static_cast<double>(counts.snapshotPieces - counts.sharedPieces), "pieces");
        report("cold_start_encoded_" + suffix, static_cast<double>(m_encoder.encoded()), "pieces");
        report("cold_start_bytes_to_entry_" + suffix, static_cast<double>(m_entryBytes), "bytes");
        report("cold_start_entry_decode_" + suffix, m_decodeMillis, "ms");
        report("cold_start_entry_decide_" + suffix, m_entryMillis, "ms");
        const double start = cpuMillis();
        const routing::routing_table table(*m_nodes.front().view);
        report("cold_start_entry_table_" + suffix, cpuMillis() - start, "ms");
    }

private:
    void toPublisher(const dissemination_message &message)
    {
        const double start = cpuMillis();
        base::step<publisher_state, dissemination_action> next
            = decide(std::move(m_publisher), message, now);
        m_publisher = std::move(next.state);
        for (const dissemination_action &action : next.actions) {
            std::visit(base::overloaded {
                           [this](const send_to_nodes &send) {
                               const std::string bytes = encodeControlMessage(send.message);
                               for (const streams::connection_id &connection : send.connections)
                                   transmit(connection, bytes);
                           },
                           [this](const send_piece &send) {
                               const std::string bytes = m_encoder.encode(send);
                               for (const streams::connection_id &connection : send.connections)
                                   transmit(connection, bytes);
                           },
                           [](const in_force_answer &) {},
                       },
                       action);
        }
        m_leaderMillis += cpuMillis() - start;
    }

    void transmit(streams::connection_id connection, const std::string &bytes)
    {
        m_entryBytes += connection.value() == 0 ? bytes.size() : 0;
        m_toNodes.emplace_back(connection.value(), bytes);
    }

    void toNode(std::size_t index, const follower_message &message)
    {
        const double start = cpuMillis();
        base::step<follower_state, follower_action> next
            = decide(std::move(m_nodes[index]), message, now);
        m_nodes[index] = std::move(next.state);
        if (index == 0)
            m_entryMillis += cpuMillis() - start;
        for (const follower_action &action : next.actions) {
            if (const send_to_control *send = std::get_if<send_to_control>(&action))
                m_toPublisher.emplace_back(index, encodeNodeMessage(send->message));
        }
    }

    publisher_state m_publisher;
    piece_encoder m_encoder;
    std::vector<follower_state> m_nodes;
    std::deque<std::pair<std::size_t, std::string>> m_toPublisher;
    std::deque<std::pair<std::size_t, std::string>> m_toNodes;
    double m_leaderMillis = 0;
    double m_decodeMillis = 0;
    double m_entryMillis = 0;
    std::size_t m_requests = 0;
    std::size_t m_entryBytes = 0;
};

} // namespace

int main()
{
    for (const std::uint32_t routes : {0U, 240U, 1500U}) {
        cold_start measured(routes);
        measured.run();
        measured.print(std::to_string(routes) + "_routes");
    }
    return 0;
}
