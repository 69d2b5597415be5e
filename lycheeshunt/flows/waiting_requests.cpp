#include "lycheeshunt/flows/waiting_requests.h"

#include <algorithm>
#include <iterator>

namespace lycheeshunt::flows {

bool waiting_requests::add(const forwarded_packet &packet, base::clock_time now)
{
    const base::flow_key &key = packet.summary.key;
    const waiting_request *existing = m_requests.find(key);
    std::vector<forwarded_packet> packets
        = existing != nullptr ? existing->packets : std::vector<forwarded_packet>();
    const bool isRetransmission
        = std::any_of(packets.begin(), packets.end(),
                      [&](const forwarded_packet &each) { return each.bytes == packet.bytes; });
    if (!isRetransmission && m_packetCount >= maxPackets)
        return false;
    if (!isRetransmission) {
        packets.push_back(packet);
        ++m_packetCount;
    }
    const base::clock_time since = existing != nullptr ? existing->since : now;
    const bool isNewUpload = existing == nullptr && packet.requestClass.isUpload();
    m_requests.put(key, waiting_request {std::move(packets), since, now});
    m_uploads += isNewUpload ? 1 : 0;
    return true;
}

waiting_requests::ranks waiting_requests::ranksOf(bool allowsUploads) const
{
    ranks waiting;
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        const waiting_request &request = it->second;
        if (!allowsUploads && request.requestClass().isUpload())
            continue;
        rank_ends &rank = waiting[request.priority()];
        if (rank.oldest == nullptr || request.since < rank.oldest->since)
            rank.oldest = &request;
        if (rank.newest == nullptr || request.since > rank.newest->since)
            rank.newest = &request;
    }
    return waiting;
}

waiting_requests::ranks::const_iterator waiting_requests::choose(const ranks &waiting)
{
    if (waiting.size() == 1 || ++m_turn < lowerTurn)
        return waiting.begin();
    m_turn = 0;
    // The lower priorities are served in rotation.
    auto lower = waiting.upper_bound(std::max(m_lastLower, waiting.begin()->first));
    if (lower == waiting.end())
        lower = std::next(waiting.begin());
    m_lastLower = lower->first;
    return lower;
}

waiting_request waiting_requests::take(const waiting_request &chosen)
{
    waiting_request taken = chosen;
    erase(taken.key());
    return taken;
}

std::optional<waiting_request> waiting_requests::takeNext(base::clock_time now, bool allowsUploads)
{
    const ranks waiting = ranksOf(allowsUploads);
    if (waiting.empty())
        return std::nullopt;
    const rank_ends &chosen = choose(waiting)->second;
    return take(chosen.isOverloaded(now) ? *chosen.newest : *chosen.oldest);
}

std::uint8_t waiting_requests::priorityOf(const forwarded_packet &packet) const
{
    const waiting_request *existing = m_requests.find(packet.summary.key);
    return existing != nullptr ? existing->priority() : packet.requestClass.priority;
}

std::optional<waiting_request> waiting_requests::displaceFor(const forwarded_packet &packet,
                                                             base::clock_time now)
{
    const ranks waiting = ranksOf(true);
    if (waiting.empty() || waiting.rbegin()->first <= priorityOf(packet))
        return std::nullopt;
    const rank_ends &lowest = waiting.rbegin()->second;
    return take(lowest.isOverloaded(now) ? *lowest.oldest : *lowest.newest);
}

bool waiting_requests::isOutranked(const forwarded_packet &packet) const
{
    const ranks waiting = ranksOf(true);
    return !waiting.empty() && waiting.begin()->first < priorityOf(packet);
}

void waiting_requests::erase(const base::flow_key &key)
{
    const waiting_request *existing = m_requests.find(key);
    if (existing == nullptr)
        return;
    m_packetCount -= existing->packets.size();
    m_uploads -= existing->requestClass().isUpload() ? 1 : 0;
    m_requests.erase(base::flow_key(key));
}

std::vector<waiting_request> waiting_requests::takeAbandoned(base::clock_time now)
{
    std::vector<waiting_request> abandoned;
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        if (now - it->second.lastHeard > retransmitTimeout)
            abandoned.push_back(it->second);
    }
    for (const waiting_request &request : abandoned)
        erase(request.key());
    return abandoned;
}

} // namespace lycheeshunt::flows
