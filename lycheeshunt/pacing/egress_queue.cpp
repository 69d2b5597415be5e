#include "lycheeshunt/pacing/egress_queue.h"

#include <algorithm>
#include <limits>

namespace lycheeshunt::pacing {

namespace {

enum band : std::uint8_t { tinyBand = 0, sparseBand = 1, shortBand = 2, longBand = 3 };

// An opening packet with the acknowledgements and the request without a body that follow it.
constexpr std::size_t tinyBytes = 700;
// A flow with less since it became active has one small request under way.
constexpr std::size_t sparseBytes = 2 * 1024;
// Transfers up to this size are served one after the other; each ends sooner than if all shared.
constexpr std::size_t shortBytes = 96 * 1024;
// A flow that sends nothing for this long has ended its transfer.
constexpr base::clock_time activityTimeout = base::clock_time::ofMillis(500);
constexpr base::clock_time sweepInterval = base::clock_time::ofSeconds(1);
// Longer than callers wait between two copies of a packet.
constexpr std::uint64_t maxQueueMillis = 2000;
constexpr std::uint64_t millisPerSecond = 1000;
// Every so many datagrams one is sent of a band or priority that is not the first in the order, so
// that none starves.
constexpr std::uint32_t fairTurn = 8;

std::uint8_t bandOf(const flow_queue &flow)
{
    if (flow.activeBytes <= tinyBytes)
        return tinyBand;
    if (flow.activeBytes <= sparseBytes)
        return sparseBand;
    return flow.activeBytes <= shortBytes ? shortBand : longBand;
}

bool isCopyOf(const packets::ip_summary &packet, const packets::ip_summary &earlier)
{
    const bool isNumbered = packet.payloadBytes > 0 || packet.opens;
    return isNumbered && packet.opens == earlier.opens && packet.sequence == earlier.sequence
        && packet.payloadBytes == earlier.payloadBytes;
}

} // namespace

egress_queue::egress_queue(const link_rate &rate)
    : m_budget(rate), m_maxBytes(rate.bytesPerSecond * maxQueueMillis / millisPerSecond)
{
}

bool egress_queue::tryPass(std::size_t bytes, base::clock_time now)
{
    if (!m_order.empty() || !m_budget.isOpen(now))
        return false;
    m_budget.charge(bytes, now);
    return true;
}

queue_outcome egress_queue::add(queued_datagram datagram, base::clock_time now)
{
    forgetIdleFlows(now);
    const base::flow_key key = datagram.summary.key;
    ranked_flow &flow = m_flows[key];
    const auto isCopy = [&datagram](const queued_datagram &earlier) {
        return isCopyOf(datagram.summary, earlier.summary);
    };
    flow_queue &waiting = flow.queue;
    if (std::any_of(waiting.datagrams.begin(), waiting.datagrams.end(), isCopy))
        return queue_outcome::duplicate;
    if (!flow.position && now - waiting.lastUsed >= activityTimeout) {
        waiting.activeBytes = 0;
        waiting.activeSince = now;
    }
    waiting.lastUsed = now;
    const std::size_t size = datagram.bytes.size();
    // Small requests are taken beyond the bound: a full queue holds transfers.
    const bool isSmall = waiting.activeBytes + size <= sparseBytes;
    if (m_waitingBytes + size > (isSmall ? 2 * m_maxBytes : m_maxBytes))
        return queue_outcome::full;
    m_waitingBytes += size;
    ++m_waitingDatagrams;
    waiting.activeBytes += size;
    waiting.priority = datagram.priority;
    waiting.datagrams.push_back(std::move(datagram));
    if (!flow.position || flow.position->band != bandOf(waiting))
        place(key, flow, waiting.activeSince);
    return queue_outcome::queued;
}

void egress_queue::place(const base::flow_key &key, ranked_flow &flow, base::clock_time since)
{
    if (flow.position)
        m_order.erase(*flow.position);
    const rank position {bandOf(flow.queue), flow.queue.priority, since, ++m_lastNumber};
    flow.position.emplace(position);
    m_order.emplace(position, key);
}

std::map<egress_queue::rank, base::flow_key>::iterator egress_queue::choose()
{
    m_turn = (m_turn + 1) % fairTurn;
    return m_turn == 0 ? chooseOutOfTurn() : m_order.begin();
}

std::map<egress_queue::rank, base::flow_key>::iterator egress_queue::behind(std::uint8_t band,
                                                                            std::uint8_t priority)
{
    const base::clock_time latest
        = base::clock_time::ofMillis(std::numeric_limits<std::int64_t>::max());
    return m_order.upper_bound(
        rank {band, priority, latest, std::numeric_limits<std::uint64_t>::max()});
}

// The bands and priorities behind the first one are served in rotation. Of long transfers, the one
// that has waited longest is taken: the last one would be the same each time, since a long transfer
// goes behind the others once it was served.
std::map<egress_queue::rank, base::flow_key>::iterator egress_queue::chooseOutOfTurn()
{
    const rank &first = m_order.begin()->first;
    const auto lower = behind(first.band, first.priority);
    if (lower == m_order.end())
        return std::prev(m_order.end());
    auto chosen = behind(m_lastBand, m_lastPriority);
    if (chosen == m_order.end() || chosen->first < lower->first)
        chosen = lower;
    m_lastBand = chosen->first.band;
    m_lastPriority = chosen->first.priority;
    return m_lastBand == longBand ? chosen : std::prev(behind(m_lastBand, m_lastPriority));
}

std::optional<queued_datagram> egress_queue::takeNext(base::clock_time now)
{
    if (m_order.empty() || !m_budget.isOpen(now))
        return std::nullopt;
    queued_datagram next = takeFrom(choose(), now);
    m_budget.charge(next.bytes.size(), now);
    return next;
}

queued_datagram egress_queue::takeFrom(std::map<rank, base::flow_key>::iterator chosen,
                                       base::clock_time now)
{
    const base::flow_key key = chosen->second;
    ranked_flow &flow = m_flows.at(key);
    queued_datagram next = flow.queue.datagrams.front();
    flow.queue.datagrams.pop_front();
    flow.queue.lastUsed = now;
    m_waitingBytes -= next.bytes.size();
    --m_waitingDatagrams;
    m_order.erase(chosen);
    flow.position.reset();
    // Long transfers take turns: each goes behind the others.
    const bool isLong = bandOf(flow.queue) == longBand;
    if (!flow.queue.datagrams.empty())
        place(key, flow, isLong ? now : flow.queue.activeSince);
    return next;
}

std::optional<base::clock_time> egress_queue::nextAt(base::clock_time now)
{
    if (m_order.empty())
        return std::nullopt;
    return m_budget.openAt(now);
}

void egress_queue::forgetIdleFlows(base::clock_time now)
{
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    std::erase_if(m_flows, [now](const flow_table::value_type &flow) {
        return flow.second.queue.datagrams.empty()
            && now - flow.second.queue.lastUsed >= activityTimeout;
    });
}

} // namespace lycheeshunt::pacing
