#include "tools/soaktest/caller_model.h"

#include "tools/soaktest/tcp_segment.h"

#include <netinet/in.h>

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

constexpr clock_time retransmitInterval = clock_time::ofMillis(200);
constexpr clock_time secondOpeningRetransmission = clock_time::ofMillis(600);
constexpr clock_time openingTimeout = clock_time::ofMillis(1400);
constexpr clock_time shortFlowInterval = clock_time::ofMillis(50);
constexpr std::size_t longFlowCount = 40;
// About 6 s; an agent that is drained is stopped when its flows have ended.
constexpr int longFlowRequests = 12;
constexpr int shortFlowRequests = 3;
// Pauses between the requests of a flow, in ms.
constexpr std::int64_t shortestPause = 50;
constexpr std::int64_t longestPause = 1000;
constexpr std::uint32_t firstSequence = 100;

} // namespace

caller_model::caller_model(std::vector<base::endpoint> addresses, std::uint64_t seed)
    : m_addresses(std::move(addresses)), m_random(seed)
{
}

void caller_model::open(int requestLimit, clock_time now, stand_in_output &output)
{
    constexpr std::uint32_t callerNetwork = 0x0a000000; // 10.0.0.0
    constexpr std::uint64_t portsPerCaller = 60'000;
    constexpr std::uint64_t firstPort = 1024;
    const std::uint64_t index = m_opened++;
    const base::endpoint caller {callerNetwork + 1
                                     + static_cast<std::uint32_t>(index / portsPerCaller),
                                 static_cast<std::uint16_t>(firstPort + index % portsPerCaller)};
    const base::flow_key key {caller, m_addresses[index % m_addresses.size()], IPPROTO_TCP};
    caller_flow &flow = m_flows.emplace(key, caller_flow {key, requestLimit}).first->second;
    flow.startedAt = now;
    output.observations.emplace_back(flow_opening {key});
    send(flow, {key, firstSequence, 0, true}, now, output);
    flow.nextSequence = firstSequence + 1;
}

void caller_model::send(caller_flow &flow, const tcp_segment &segment, clock_time now,
                        stand_in_output &output)
{
    flow.lastPacket = encode(segment, segment_source::caller);
    flow.sentAt = now;
    output.packets.push_back(flow.lastPacket);
}

void caller_model::request(caller_flow &flow, clock_time now, stand_in_output &output)
{
    flow.phase = caller_phase::waiting;
    flow.startedAt = now;
    const std::string payload = std::to_string(++flow.requests);
    send(flow, {flow.key, flow.nextSequence, flow.acknowledged, false, false, false, payload}, now,
         output);
    flow.nextSequence += static_cast<std::uint32_t>(payload.size());
}

void caller_model::close(caller_flow &flow, clock_time now, stand_in_output &output)
{
    flow.phase = caller_phase::closing;
    flow.startedAt = now;
    send(flow, {flow.key, flow.nextSequence, flow.acknowledged, false, true}, now, output);
    flow.nextSequence += 1;
}

void caller_model::reset(caller_flow &flow, stand_in_output &output)
{
    output.observations.emplace_back(
        flow_reset {flow.key, "caller", flow.phase == caller_phase::opening});
    flow.phase = caller_phase::ended;
}

stand_in_output caller_model::receive(const std::string &packet, clock_time now)
{
    stand_in_output output;
    const std::optional<tcp_segment> segment = decode(packet, segment_source::server);
    const auto found = segment ? m_flows.find(segment->flow) : m_flows.end();
    if (found == m_flows.end() || found->second.phase == caller_phase::ended)
        return output;
    caller_flow &flow = found->second;
    if (segment->resets) {
        reset(flow, output);
        return output;
    }
    if (segment->acknowledged != flow.nextSequence)
        return output;
    if (flow.phase == caller_phase::opening && segment->synchronizes) {
        flow.acknowledged = segment->sequence + 1;
        request(flow, now, output);
    } else if (flow.phase == caller_phase::waiting && segment->sequence == flow.acknowledged
               && !segment->payload.empty()) {
        ++m_answers;
        flow.acknowledged += static_cast<std::uint32_t>(segment->payload.size());
        flow.phase = caller_phase::idle;
        const std::int64_t span = longestPause - shortestPause + 1;
        const std::int64_t pause = shortestPause
            + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(span));
        flow.dueAt = now + clock_time::ofMillis(pause);
    } else if (flow.phase == caller_phase::closing && segment->finishes) {
        flow.phase = caller_phase::ended;
    }
    return output;
}

stand_in_output caller_model::tick(clock_time now)
{
    stand_in_output output;
    m_longFlows = 0;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        proceed(it->second, now, output);
        m_longFlows += it->second.requestLimit == longFlowRequests ? 1 : 0;
        it = it->second.phase == caller_phase::ended ? m_flows.erase(it) : std::next(it);
    }
    if (m_isFinishing)
        return output;
    for (; m_longFlows < longFlowCount; ++m_longFlows)
        open(longFlowRequests, now, output);
    if (now >= m_nextShortAt) {
        open(shortFlowRequests, now, output);
        m_nextShortAt = now + shortFlowInterval;
    }
    return output;
}

void caller_model::proceed(caller_flow &flow, clock_time now, stand_in_output &output)
{
    if (flow.phase == caller_phase::ended)
        return;
    if (flow.phase != caller_phase::idle) {
        repeat(flow, now, output);
        return;
    }
    // When the run ends, each flow sends one more request: it must still be answered.
    const bool isLast = flow.requests >= flow.requestLimit;
    if (isLast)
        close(flow, now, output);
    else if (m_isFinishing || now >= flow.dueAt)
        request(flow, now, output);
}

void caller_model::repeat(caller_flow &flow, clock_time now, stand_in_output &output)
{
    if (flow.phase == caller_phase::opening && now - flow.startedAt >= openingTimeout) {
        flow.phase = caller_phase::ended;
        return;
    }
    const bool isOpening = flow.phase == caller_phase::opening;
    const bool isRepeated = flow.sentAt > flow.startedAt;
    const clock_time due = isOpening && isRepeated ? flow.startedAt + secondOpeningRetransmission
                                                   : flow.sentAt + retransmitInterval;
    const bool areAllSent
        = isOpening && flow.sentAt - flow.startedAt >= secondOpeningRetransmission;
    if (areAllSent || now < due)
        return;
    flow.sentAt = now;
    output.packets.push_back(flow.lastPacket);
}

void caller_model::finish()
{
    m_isFinishing = true;
    for (auto it = m_flows.begin(); it != m_flows.end(); ++it)
        it->second.requestLimit = it->second.requests + 1;
}

std::vector<observation> caller_model::unanswered() const
{
    std::vector<observation> all;
    for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
        if (it->second.phase != caller_phase::opening && it->second.phase != caller_phase::ended)
            all.emplace_back(flow_unanswered {it->first});
    }
    return all;
}

} // namespace lycheeshunt::soak
