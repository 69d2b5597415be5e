#include "tools/soaktest/server_model.h"

#include "lycheeshunt/packets/ip_packet.h"

#include <charconv>

namespace lycheeshunt::soak {

namespace {

int requestNumberOf(const std::string &payload)
{
    int number = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), number);
    return number;
}

} // namespace

server_model::server_model(std::string name, std::uint32_t initialSequence)
    : m_name(std::move(name)), m_initialSequence(initialSequence)
{
}

stand_in_output server_model::receive(const std::string &packet)
{
    stand_in_output output;
    const std::optional<tcp_segment> segment = decode(packet, segment_source::caller);
    if (!segment)
        return output;
    const auto found = m_connections.find(segment->flow);
    if (segment->resets) {
        if (found == m_connections.end())
            return output;
        if (found->second.isOpen && !found->second.isFinished) {
            --m_openFlows;
            output.observations.emplace_back(flow_reset {segment->flow, m_name});
        }
        m_connections.erase(found);
        return output;
    }
    output.observations.emplace_back(
        packet_delivered {segment->flow, m_name, segment->synchronizes});
    if (segment->synchronizes) {
        accept(*segment, output);
        return output;
    }
    // A half-open connection whose answer the caller did not acknowledge belongs elsewhere.
    if (found == m_connections.end()
        || (!found->second.isOpen && segment->acknowledged != found->second.next)) {
        output.packets.push_back(packets::resetFor(packet));
        return output;
    }
    handle(found->second, *segment, output);
    return output;
}

void server_model::accept(const tcp_segment &segment, stand_in_output &output)
{
    const auto found = m_connections.find(segment.flow);
    if (found != m_connections.end() && found->second.isOpen)
        return;
    connection opened {segment.sequence + 1, m_initialSequence + 1};
    opened.lastAnswer
        = encode({segment.flow, m_initialSequence, opened.expected, true}, segment_source::server);
    output.packets.push_back(opened.lastAnswer);
    m_connections.insert_or_assign(segment.flow, std::move(opened));
}

void server_model::handle(connection &held, const tcp_segment &segment, stand_in_output &output)
{
    if (!held.isOpen) {
        held.isOpen = true;
        ++m_openFlows;
        output.observations.emplace_back(flow_held {segment.flow, m_name});
    }
    const std::uint32_t consumed
        = static_cast<std::uint32_t>(segment.payload.size()) + (segment.finishes ? 1U : 0U);
    if (consumed == 0)
        return;
    if (segment.sequence != held.expected) {
        output.packets.push_back(held.lastAnswer);
        return;
    }
    held.expected += consumed;
    tcp_segment answer {segment.flow, held.next, held.expected};
    if (segment.finishes) {
        answer.finishes = true;
        held.isFinished = true;
        --m_openFlows;
        output.observations.emplace_back(flow_released {segment.flow});
    } else {
        output.observations.emplace_back(
            request_run {segment.flow, requestNumberOf(segment.payload), m_name});
        answer.payload = m_name + "|" + segment.payload;
    }
    held.next += static_cast<std::uint32_t>(answer.payload.size()) + (answer.finishes ? 1U : 0U);
    held.lastAnswer = encode(answer, segment_source::server);
    output.packets.push_back(held.lastAnswer);
}

} // namespace lycheeshunt::soak
