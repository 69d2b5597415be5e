#include "lycheeshunt/flows/waiting_requests.h"

#include <algorithm>

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

std::optional<waiting_request> waiting_requests::takeNext(base::clock_time now, bool allowsUploads)
{
    const waiting_request *oldest = nullptr;
    const waiting_request *newest = nullptr;
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        const waiting_request &request = it->second;
        if (!allowsUploads && request.requestClass().isUpload())
            continue;
        if (oldest == nullptr || request.since < oldest->since)
            oldest = &request;
        if (newest == nullptr || request.since > newest->since)
            newest = &request;
    }
    if (oldest == nullptr)
        return std::nullopt;
    const waiting_request next = now - oldest->since >= overloadWait ? *newest : *oldest;
    erase(next.key());
    return next;
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
