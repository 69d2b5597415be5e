#include "lycheeshunt/flows/waiting_requests.h"

#include <algorithm>

namespace lycheeshunt::flows {

bool waiting_requests::add(const forwarded_packet &packet, base::clock_time now)
{
    const base::flow_key &key = packet.summary.key;
    const waiting_request *known = m_requests.find(key);
    std::vector<forwarded_packet> packets
        = known != nullptr ? known->packets : std::vector<forwarded_packet>();
    const bool isRepeated
        = std::any_of(packets.begin(), packets.end(),
                      [&](const forwarded_packet &each) { return each.bytes == packet.bytes; });
    if (!isRepeated && m_packets >= maxPackets)
        return false;
    if (!isRepeated) {
        packets.push_back(packet);
        ++m_packets;
    }
    const base::clock_time since = known != nullptr ? known->since : now;
    m_requests.put(key, waiting_request {std::move(packets), since, now});
    return true;
}

std::optional<waiting_request> waiting_requests::takeNext(base::clock_time now)
{
    if (isEmpty())
        return std::nullopt;
    const waiting_request *oldest = &m_requests.begin()->second;
    const waiting_request *newest = oldest;
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        if (it->second.since < oldest->since)
            oldest = &it->second;
        if (it->second.since > newest->since)
            newest = &it->second;
    }
    const waiting_request next = now - oldest->since >= burstWait ? *newest : *oldest;
    erase(next.key());
    return next;
}

void waiting_requests::erase(const base::flow_key &key)
{
    const waiting_request *known = m_requests.find(key);
    if (known == nullptr)
        return;
    m_packets -= known->packets.size();
    m_requests.erase(base::flow_key(key));
}

std::vector<waiting_request> waiting_requests::takeAbandoned(base::clock_time now)
{
    std::vector<waiting_request> abandoned;
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        if (now - it->second.lastHeard > repeatWithin)
            abandoned.push_back(it->second);
    }
    for (const waiting_request &request : abandoned)
        erase(request.key());
    return abandoned;
}

} // namespace lycheeshunt::flows
