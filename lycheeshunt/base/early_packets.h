// Packets that came before their receiver knew where anything goes, as after a restart of every
// process. A caller repeats a packet only after ever longer pauses, so that the next copy may come
// too late. Bounded; a packet that comes again is kept once.
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
    // With packets of 1,200 bytes, 640 KB at most.
    static constexpr std::size_t maxPackets = 512;
    // A caller sends this many packets before it needs an answer.
    static constexpr std::size_t maxPacketsOfFlow = 16;
    // The longest pause before a caller repeats a packet.
    static constexpr clock_time keptFor = clock_time::ofMillis(1600);

    bool isEmpty() const { return m_count == 0; }
    bool holds(const flow_key &key) const { return m_flows.find(key) != m_flows.end(); }

    // False when there is no room.
    bool put(const flow_key &key, const packet_type &packet, clock_time now)
    {
        if (m_count >= maxPackets)
            dropOld(now);
        std::vector<held_packet> &held = m_flows[key];
        const auto known = std::find_if(held.begin(), held.end(), [&](const held_packet &each) {
            return each.packet == packet;
        });
        if (known != held.end()) {
            known->at = now;
            return true;
        }
        const bool hasRoom = m_count < maxPackets && held.size() < maxPacketsOfFlow;
        if (hasRoom) {
            held.push_back(held_packet {packet, now});
            ++m_count;
        } else if (held.empty()) {
            m_flows.erase(key);
        }
        return hasRoom;
    }

    // All that are not too old, those of one flow in the order in which they came.
    std::vector<packet_type> take(clock_time now)
    {
        dropOld(now);
        std::vector<packet_type> taken;
        for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
            for (const held_packet &held : it->second)
                taken.push_back(held.packet);
        }
        m_flows.clear();
        m_count = 0;
        return taken;
    }

private:
    struct held_packet
    {
        packet_type packet;
        clock_time at;
    };

    void dropOld(clock_time now)
    {
        m_count = 0;
        for (auto it = m_flows.begin(); it != m_flows.end();) {
            std::vector<held_packet> kept;
            for (held_packet &held : it->second) {
                if (now - held.at < keptFor)
                    kept.push_back(std::move(held));
            }
            m_count += kept.size();
            it->second.swap(kept);
            it = it->second.empty() ? m_flows.erase(it) : std::next(it);
        }
    }

    std::unordered_map<flow_key, std::vector<held_packet>> m_flows;
    std::size_t m_count = 0;
};

} // namespace lycheeshunt::base
