// Requests that wait at their agent for a slot of the backend server, each with the packets of its
// caller so far. First come is first served until the oldest has waited long: from then on the
// newest goes first. Under overload most callers so get an answer while it is still of use to them,
// where a queue in order of arrival would make everybody late.
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
    // With packets of 1,200 bytes, 640 KB at most.
    static constexpr std::size_t maxPackets = 512;
    // A queue that takes longer than this to come to its end is no burst but overload. Half of the
    // shortest time that callers' objectives leave for waiting.
    static constexpr base::clock_time burstWait = base::clock_time::ofMillis(100);
    // Callers repeat what is not acknowledged at least this often until they give up.
    static constexpr base::clock_time repeatWithin = base::clock_time::ofMillis(1700);

    bool isEmpty() const { return m_requests.size() == 0; }
    std::size_t size() const { return m_requests.size(); }
    bool holds(const base::flow_key &key) const { return m_requests.find(key) != nullptr; }

    // Begins a request, or adds to the one of the same flow. False when there is no room.
    bool add(const forwarded_packet &packet, base::clock_time now);
    // Empty when nothing waits any more.
    std::optional<waiting_request> takeNext(base::clock_time now);
    void erase(const base::flow_key &key);
    // Takes out the requests whose callers have gone.
    std::vector<waiting_request> takeAbandoned(base::clock_time now);

private:
    flow_map<waiting_request> m_requests;
    std::size_t m_packets = 0;
};

} // namespace lycheeshunt::flows
