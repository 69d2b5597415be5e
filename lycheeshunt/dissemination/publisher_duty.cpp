#include "lycheeshunt/dissemination/publisher_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/dissemination/decision.h"

namespace lycheeshunt::dissemination {

namespace {
constexpr std::size_t inboxCapacity = 4096;
// Changes within one interval are sent to the nodes as one delta.
constexpr base::clock_time tickInterval = base::clock_time::ofMillis(50);
constexpr base::clock_time reportInterval = base::clock_time::ofSeconds(1);
} // namespace

publisher_duty::publisher_duty(action_sink sink)
    : m_sink(std::move(sink)), m_duty(inboxCapacity, tickInterval, publisher_tick {},
                                      [this](const dissemination_message &message,
                                             base::clock_time now) { handle(message, now); })
{
}

void publisher_duty::handle(const dissemination_message &message, base::clock_time now)
{
    base::step<publisher_state, dissemination_action> next
        = decide(std::move(m_state), message, now);
    m_state = std::move(next.state);
    base::reportFault("dissemination", next.fault);
    for (const dissemination_action &action : next.actions)
        m_sink(action);
    if (std::holds_alternative<publisher_tick>(message) && now - m_reportedAt >= reportInterval)
        reportCounts(now);
}

void publisher_duty::reportCounts(base::clock_time now)
{
    m_reportedAt = now;
    const publisher_counts &counts = m_state.counts;
    if (counts == m_reported)
        return;
    const std::size_t behind = m_state.nodesBehind();
    const auto since = [](std::uint64_t count, std::uint64_t earlier) {
        return std::to_string(count - earlier);
    };
    base::logEvent(
        "dissemination", "sent",
        {{"generation", std::to_string(m_state.view->at.value())},
         {"nodes", std::to_string(m_state.subscribers.size())},
         {"behind", std::to_string(behind)},
         {"deltas", since(counts.deltas, m_reported.deltas)},
         {"repeated", since(counts.repeatedDeltas, m_reported.repeatedDeltas)},
         {"pieces", since(counts.snapshotPieces, m_reported.snapshotPieces)},
         {"shared", since(counts.sharedPieces, m_reported.sharedPieces)},
         {"objects", since(counts.objects, m_reported.objects)},
         {"acks", since(counts.acknowledgements, m_reported.acknowledgements)},
         {"ignored", since(counts.ignoredAcknowledgements, m_reported.ignoredAcknowledgements)}});
    const std::lock_guard<std::mutex> lock(m_lock);
    m_reported = counts;
    m_behind = behind;
}

std::vector<metrics::sample> publisher_duty::samples() const
{
    const std::lock_guard<std::mutex> lock(m_lock);
    const auto counter = [](const char *name, const char *help, std::uint64_t count) {
        return metrics::sample {name, help, metrics::counter_value {count}};
    };
    return {
        counter("view_deltas_sent_total", "Deltas sent to nodes.", m_reported.deltas),
        counter("view_deltas_repeated_total",
                "Deltas to nodes that did not acknowledge the previous one in time.",
                m_reported.repeatedDeltas),
        counter("view_pieces_sent_total", "Snapshot pieces sent to nodes.",
                m_reported.snapshotPieces),
        counter("view_objects_sent_total", "Objects in deltas and snapshot pieces.",
                m_reported.objects),
        counter("view_acknowledgements_total", "Acknowledgements from nodes.",
                m_reported.acknowledgements),
        counter("view_acknowledgements_ignored_total",
                "Acknowledgements of anything but a delta in flight.",
                m_reported.ignoredAcknowledgements),
        metrics::sample {"nodes_behind", "Nodes that have not acknowledged the newest generation.",
                         metrics::gauge_value {static_cast<double>(m_behind)}},
    };
}

} // namespace lycheeshunt::dissemination
