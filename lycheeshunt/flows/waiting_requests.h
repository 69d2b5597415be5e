// Queue of the requests that wait at their agent for a slot of the backend server, each with the
// packets of its caller so far. The highest priority is served first; of one priority, first in,
// first out until its oldest request has waited overloadWait, then last in, first out. Under
// overload, most callers then still get an answer in time, whereas with first in, first out every
// answer would be late.
//
//     waiting.add(packet, now);
//     while (const std::optional<waiting_request> next = waiting.takeNext(now)) ...
//
// Bounded. Not thread-safe.

#pragma once

#include "lycheeshunt/flows/flow_map.h"
#include "lycheeshunt/flows/waiting_request.h"

#include <map>
#include <optional>

namespace lycheeshunt::flows {

class waiting_requests
{
public:
    // At most 640 KB with packets of 1,200 bytes.
    static constexpr std::size_t maxPackets = 512;
    // A queue in which the oldest request has waited this long means overload, not a burst. Half of
    // the shortest queueing time that the callers' latency objectives allow.
    static constexpr base::clock_time overloadWait = base::clock_time::ofMillis(100);
    // While requests of several priorities wait, every so many taken is not of the highest, so that
    // no priority starves: the lower ones share an eighth of the server.
    static constexpr std::uint32_t lowerTurn = 8;
    // Callers retransmit unacknowledged packets at least this often until they give up.
    static constexpr base::clock_time retransmitTimeout = base::clock_time::ofMillis(1700);

    bool isEmpty() const { return m_requests.size() == 0; }
    std::size_t size() const { return m_requests.size(); }
    // How many of the requests are uploads.
    std::size_t uploads() const { return m_uploads; }
    bool contains(const base::flow_key &key) const { return m_requests.find(key) != nullptr; }

    // Queues a new request, or adds the packet to the request of the same flow. Returns false if
    // the queue is full.
    bool add(const forwarded_packet &packet, base::clock_time now);
    // Removes and returns the next request, or nothing if the queue is empty. Without
    // `allowsUploads`, uploads stay in the queue.
    std::optional<waiting_request> takeNext(base::clock_time now, bool allowsUploads = true);
    // Makes room for the packet in a full queue: removes and returns the request of the lowest
    // priority that would be served last. Nothing if none has a lower priority than the packet's.
    std::optional<waiting_request> displaceFor(const forwarded_packet &packet,
                                               base::clock_time now);
    // Whether a request of a higher priority than the packet's waits.
    bool isOutranked(const forwarded_packet &packet) const;
    void erase(const base::flow_key &key);
    // Removes and returns the requests whose callers have been silent for longer than
    // retransmitTimeout.
    std::vector<waiting_request> takeAbandoned(base::clock_time now);

private:
    // The oldest and the newest request of one priority.
    struct rank_ends
    {
        const waiting_request *oldest = nullptr;
        const waiting_request *newest = nullptr;

        bool isOverloaded(base::clock_time now) const
        {
            return now - oldest->since >= overloadWait;
        }
    };
    using ranks = std::map<std::uint8_t, rank_ends>;

    ranks ranksOf(bool allowsUploads) const;
    ranks::const_iterator choose(const ranks &waiting);
    waiting_request take(const waiting_request &chosen);
    // The priority of the request that the packet belongs to.
    std::uint8_t priorityOf(const forwarded_packet &packet) const;

    flow_map<waiting_request> m_requests;
    std::size_t m_packetCount = 0;
    std::size_t m_uploads = 0;
    // Requests of the highest priority taken in a row while others waited.
    std::uint32_t m_turn = 0;
    // The priority that was last served out of turn.
    std::uint8_t m_lastLower = 0;
};

} // namespace lycheeshunt::flows
