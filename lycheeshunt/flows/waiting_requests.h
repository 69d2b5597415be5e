// Queue of the requests that wait at their agent for a slot of the backend server, each with the
// packets of its caller so far. First in, first out until the oldest request has waited
// overloadWait; then last in, first out. Under overload, most callers then still get an answer in
// time, whereas with first in, first out every answer would be late.
//
//     waiting.add(packet, now);
//     while (const std::optional<waiting_request> next = waiting.takeNext(now)) ...
//
// Bounded. Not thread-safe.

#pragma once

#include "lycheeshunt/flows/flow_map.h"
#include "lycheeshunt/flows/waiting_request.h"

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
    void erase(const base::flow_key &key);
    // Removes and returns the requests whose callers have been silent for longer than
    // retransmitTimeout.
    std::vector<waiting_request> takeAbandoned(base::clock_time now);

private:
    flow_map<waiting_request> m_requests;
    std::size_t m_packetCount = 0;
    std::size_t m_uploads = 0;
};

} // namespace lycheeshunt::flows
