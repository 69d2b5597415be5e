// Decides when an entry sends a second copy of an opening packet that no server has answered, to
// another agent. Keeps the openings that wait for an answer; bounded: the oldest is evicted.
//
//     hedging.add(opening, now);
//     while (const std::optional<due_opening> due = hedging.takeDue(now))
//         const hedge_decision decision = hedging.decide(*due, backup);
//
// Not thread-safe: the entry's packet thread alone uses it.

#pragma once

#include "lycheeshunt/routing/answer_times.h"
#include "lycheeshunt/routing/due_opening.h"
#include "lycheeshunt/routing/hedge_budget.h"
#include "lycheeshunt/routing/hedge_decision.h"
#include "lycheeshunt/routing/routing_table.h"
#include "lycheeshunt/routing/steering.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/key_extractors.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

namespace lycheeshunt::routing {

// Whether a second copy of this packet may be sent: it is the first copy of an opening packet, goes
// to a director, and the requests to its address may be repeated.
bool mayBeHedged(const packets::ip_summary &packet, const steering &decision,
                 const std::optional<request_traits> &traits);

class hedging
{
public:
    // An entry of 70 openings per second has 100 of them open for the 1,400 ms that callers wait,
    // so this has room for bursts and outages of ten times as many.
    static constexpr std::size_t maxWaiting = 1024;

    explicit hedging(const hedging_limit &limit) : m_budget(limit) { }

    // The first copy of an opening packet that may be hedged was sent. A packet of a flow that
    // waits already is taken for the caller's own copy.
    void add(sent_opening opening, base::clock_time now);
    // The caller has sent another packet of the flow: its own copy, or one that shows that it has
    // received an answer. No second copy is sent from now on.
    void handleCallersPacket(const base::flow_key &key);
    // A server has answered. Returns the time since the first copy was sent; empty for a flow that
    // does not wait for an answer.
    std::optional<base::clock_time> handleAnswer(const base::flow_key &key, base::clock_time now);

    // When the next opening is due; empty when none waits for its delay to pass.
    std::optional<base::clock_time> nextAt() const;
    std::optional<due_opening> takeDue(base::clock_time now);
    // `backup` is the table's route that avoids the director. Takes the copy from the budget.
    hedge_decision decide(const due_opening &due, const routing_outcome &backup);

    // How long a new opening is given to be answered.
    base::clock_time delayFor(base::clock_time targetLatency) const;
    std::size_t size() const { return m_waiting.size(); }
    // Number of openings that were evicted before they were due.
    std::uint64_t evicted() const { return m_evicted; }

private:
    struct waiting_opening
    {
        base::flow_key key;
        base::clock_time sentAt;
        // The latest possible time once no copy is to be sent any more.
        base::clock_time dueAt;
        // Kept until a copy was sent or is not to be sent any more.
        std::optional<sent_opening> opening;
    };

    struct by_key;
    struct by_age;
    struct by_due_time;
    using waiting_table = boost::multi_index_container<
        waiting_opening,
        boost::multi_index::indexed_by<
            boost::multi_index::hashed_unique<
                boost::multi_index::tag<by_key>,
                boost::multi_index::member<waiting_opening, base::flow_key, &waiting_opening::key>,
                std::hash<base::flow_key>>,
            boost::multi_index::sequenced<boost::multi_index::tag<by_age>>,
            boost::multi_index::ordered_non_unique<
                boost::multi_index::tag<by_due_time>,
                boost::multi_index::member<waiting_opening, base::clock_time,
                                           &waiting_opening::dueAt>>>>;
    using key_index = waiting_table::index<by_key>::type;
    using age_index = waiting_table::index<by_age>::type;
    using due_index = waiting_table::index<by_due_time>::type;

    // Removes the openings that their callers have given up.
    void removeAbandoned(base::clock_time now);

    hedge_budget m_budget;
    answer_times m_answers;
    waiting_table m_waiting;
    std::uint64_t m_evicted = 0;
};

} // namespace lycheeshunt::routing
