// The datagrams that wait for a narrow link, and the order in which they leave: packets of flows
// that send little first, then transfers in the order in which they began, then long transfers in
// turn; among these, flows of a higher priority before others. A copy of a packet that still waits
// is dropped.
//
//     if (!queue.tryPass(bytes, now))
//         queue.add(queued_datagram {summary, to, bytes}, now);
//     while (const std::optional<queued_datagram> next = queue.takeNext(now)) ...
//
// Not thread-safe.

#pragma once

#include "lycheeshunt/pacing/flow_queue.h"
#include "lycheeshunt/pacing/link_budget.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace lycheeshunt::pacing {

enum class queue_outcome : std::uint8_t { queued, duplicate, full };

class egress_queue
{
public:
    explicit egress_queue(const link_rate &rate);

    // Whether a datagram of this size may be sent at once, before all that wait. Charges it if so.
    bool tryPass(std::size_t bytes, base::clock_time now);
    // Takes a datagram into account that is sent whatever the queue holds.
    void charge(std::size_t bytes, base::clock_time now) { m_budget.charge(bytes, now); }

    queue_outcome add(queued_datagram datagram, base::clock_time now);
    // Empty while the link is busy, or when nothing waits.
    std::optional<queued_datagram> takeNext(base::clock_time now);
    // When takeNext() has a datagram; empty when nothing waits.
    std::optional<base::clock_time> nextAt(base::clock_time now);

    std::size_t waitingBytes() const { return m_waitingBytes; }
    std::size_t waitingDatagrams() const { return m_waitingDatagrams; }

private:
    // A flow's rank: its band, its priority, then when it became active, then a number that is
    // unique.
    struct rank
    {
        const std::uint8_t band;
        const std::uint8_t priority;
        const base::clock_time since;
        const std::uint64_t number;

        auto operator<=>(const rank &) const = default;
    };

    struct ranked_flow
    {
        flow_queue queue;
        // Set while datagrams wait.
        std::optional<rank> position;
    };

    using flow_table = std::unordered_map<base::flow_key, ranked_flow>;

    void place(const base::flow_key &key, ranked_flow &flow, base::clock_time since);
    queued_datagram takeFrom(std::map<rank, base::flow_key>::iterator chosen, base::clock_time now);
    std::map<rank, base::flow_key>::iterator choose();
    std::map<rank, base::flow_key>::iterator chooseOutOfTurn();
    // The first flow behind those of this band and priority.
    std::map<rank, base::flow_key>::iterator behind(std::uint8_t band, std::uint8_t priority);
    void forgetIdleFlows(base::clock_time now);

    link_budget m_budget;
    const std::size_t m_maxBytes;
    flow_table m_flows;
    std::map<rank, base::flow_key> m_order;
    std::size_t m_waitingBytes = 0;
    std::size_t m_waitingDatagrams = 0;
    std::uint64_t m_lastNumber = 0;
    std::uint32_t m_turn = 0;
    // The band and priority that were last served out of turn.
    std::uint8_t m_lastBand = 0;
    std::uint8_t m_lastPriority = 0;
    base::clock_time m_nextSweep;
};

} // namespace lycheeshunt::pacing
