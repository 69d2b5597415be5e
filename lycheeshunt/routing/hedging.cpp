#include "lycheeshunt/routing/hedging.h"

#include <algorithm>
#include <limits>

namespace lycheeshunt::routing {

namespace {

// Shorter than this, the delay would be within the scheduling of an agent with a tenth of a core.
constexpr base::clock_time minDelay = base::clock_time::ofMillis(20);
// An answer that takes three times as long as all but the slowest 5 percent is probably lost.
constexpr std::int64_t percentileFactor = 3;
// The rest of the target latency is left for the second server and the request.
constexpr std::int64_t targetDivisor = 4;
// Callers send their own copy after this time, possibly through another entry.
constexpr base::clock_time callersRetransmission = base::clock_time::ofMillis(200);
// Callers give up an unanswered opening packet after this time.
constexpr base::clock_time callersTimeout = base::clock_time::ofMillis(1400);

constexpr base::clock_time never
    = base::clock_time::ofMillis(std::numeric_limits<std::int64_t>::max());

} // namespace

bool mayBeHedged(const packets::ip_summary &packet, const steering &decision,
                 const std::optional<request_traits> &traits)
{
    const steer_to *to = std::get_if<steer_to>(&decision);
    return packet.opens && !packet.isRepeated && to != nullptr
        && to->stage == flows::packet_stage::toDirector && traits
        && traits->kind == tickets::request_kind::idempotent
        && traits->targetLatency > base::clock_time();
}

void hedging::add(sent_opening opening, base::clock_time now)
{
    removeAbandoned(now);
    const base::flow_key key = opening.summary.key;
    age_index &byAge = m_waiting.get<by_age>();
    if (m_waiting.get<by_key>().count(key) > 0) {
        handleCallersPacket(key);
        return;
    }
    if (byAge.size() >= maxWaiting) {
        m_evicted += byAge.front().opening ? 1 : 0;
        byAge.pop_front();
    }
    m_budget.addOpening();
    const base::clock_time dueAt = now + delayFor(opening.targetLatency);
    byAge.push_back(waiting_opening {key, now, dueAt, std::move(opening)});
}

void hedging::removeAbandoned(base::clock_time now)
{
    age_index &byAge = m_waiting.get<by_age>();
    while (!byAge.empty() && now - byAge.front().sentAt >= callersTimeout)
        byAge.pop_front();
}

void hedging::handleCallersPacket(const base::flow_key &key)
{
    key_index &byKey = m_waiting.get<by_key>();
    const auto found = byKey.find(key);
    if (found == byKey.end())
        return;
    byKey.modify(found, [](waiting_opening &waiting) {
        waiting.dueAt = never;
        waiting.opening.reset();
    });
}

std::optional<base::clock_time> hedging::handleAnswer(const base::flow_key &key,
                                                      base::clock_time now)
{
    key_index &byKey = m_waiting.get<by_key>();
    const auto found = byKey.find(key);
    if (found == byKey.end())
        return std::nullopt;
    const base::clock_time span = now - found->sentAt;
    byKey.erase(found);
    if (span >= callersTimeout)
        return std::nullopt;
    // After a second copy it is not known which one was answered. The time since the first is
    // taken, so that slow answers lengthen the delay.
    m_answers.record(span, now);
    return span;
}

std::optional<base::clock_time> hedging::nextAt() const
{
    const due_index &byDueTime = m_waiting.get<by_due_time>();
    if (byDueTime.empty() || byDueTime.begin()->dueAt == never)
        return std::nullopt;
    return byDueTime.begin()->dueAt;
}

std::optional<due_opening> hedging::takeDue(base::clock_time now)
{
    due_index &byDueTime = m_waiting.get<by_due_time>();
    while (!byDueTime.empty() && byDueTime.begin()->dueAt <= now) {
        const auto first = byDueTime.begin();
        const base::clock_time waited = now - first->sentAt;
        std::optional<due_opening> due;
        if (waited < callersRetransmission)
            due.emplace(due_opening {*first->opening, waited});
        byDueTime.modify(first, [](waiting_opening &waiting) {
            waiting.dueAt = never;
            waiting.opening.reset();
        });
        if (due)
            return due;
    }
    return std::nullopt;
}

hedge_decision hedging::decide(const due_opening &due, const routing_outcome &backup)
{
    const route *to = std::get_if<route>(&backup);
    if (to == nullptr || to->to.node == due.opening.destination.to.node)
        return skip_hedge {hedge_obstacle::noOtherAgent};
    if (!m_budget.tryTake())
        return skip_hedge {hedge_obstacle::noBudget};
    return send_hedge {*to};
}

base::clock_time hedging::delayFor(base::clock_time targetLatency) const
{
    const base::clock_time maxDelay = std::max(minDelay, targetLatency / targetDivisor);
    const std::optional<base::clock_time> slow = m_answers.percentile95();
    return slow ? std::clamp(*slow * percentileFactor, minDelay, maxDelay) : maxDelay;
}

} // namespace lycheeshunt::routing
