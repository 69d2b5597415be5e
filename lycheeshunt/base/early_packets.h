// Bounded buffer of packets that arrived before the receiver had its routing tables, as after a
// restart of every process. Buffering matters because a caller retransmits with increasing
// intervals, so that its next copy may arrive too late. A retransmitted packet is stored once.
//
//     early.put(key, packet, now);
//     for (const std::string &packet : early.take(now)) ...
//
// Not thread-safe.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/flow_key.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheeshunt::base {

template <typename packet_type>
class early_packets
{
public:
    // Bounds the memory to 640 KB with packets of 1,200 bytes.
    static constexpr std::size_t maxPackets = 512;
    // The number of packets that a caller sends before it needs a reply.
    static constexpr std::size_t maxPacketsOfFlow = 16;
    // Retention period: the longest interval before a caller retransmits a packet.
    static constexpr clock_time keptFor = clock_time::ofMillis(1600);

    bool isEmpty() const { return m_count == 0; }
    bool holds(const flow_key &key) const { return m_flows.find(key) != m_flows.end(); }

    // Returns false when there is no room.
    bool put(const flow_key &key, const packet_type &packet, clock_time now)
    {
        if (m_count >= maxPackets)
            evictExpired(now);
        std::vector<buffered_packet> &buffered = m_flows[key];
        const auto duplicate
            = std::find_if(buffered.begin(), buffered.end(),
                           [&](const buffered_packet &each) { return each.packet == packet; });
        if (duplicate != buffered.end()) {
            duplicate->receivedAt = now;
            return true;
        }
        const bool hasRoom = m_count < maxPackets && buffered.size() < maxPacketsOfFlow;
        if (hasRoom) {
            buffered.push_back(buffered_packet {packet, now});
            ++m_count;
        } else if (buffered.empty()) {
            m_flows.erase(key);
        }
        return hasRoom;
    }

    // Removes all packets and returns those that have not expired; packets of one flow are in order
    // of arrival.
    std::vector<packet_type> take(clock_time now)
    {
        evictExpired(now);
        std::vector<packet_type> taken;
        for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
            for (const buffered_packet &buffered : it->second)
                taken.push_back(buffered.packet);
        }
        m_flows.clear();
        m_count = 0;
        return taken;
    }

private:
    struct buffered_packet
    {
        packet_type packet;
        clock_time receivedAt;
    };

    void evictExpired(clock_time now)
    {
        m_count = 0;
        for (auto it = m_flows.begin(); it != m_flows.end();) {
            std::vector<buffered_packet> unexpired;
            for (buffered_packet &buffered : it->second) {
                if (now - buffered.receivedAt < keptFor)
                    unexpired.push_back(std::move(buffered));
            }
            m_count += unexpired.size();
            it->second.swap(unexpired);
            it = it->second.empty() ? m_flows.erase(it) : std::next(it);
        }
    }

    std::unordered_map<flow_key, std::vector<buffered_packet>> m_flows;
    std::size_t m_count = 0;
};

} // namespace lycheeshunt::base
