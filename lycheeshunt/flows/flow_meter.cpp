#include "lycheeshunt/flows/flow_meter.h"

#include "lycheeshunt/flows/event_log.h"

namespace lycheeshunt::flows {

flow_meter::flow_meter()
    : m_answered("request_server_ms", "From a request's first packet at the server to its answer.")
{
}

void flow_meter::record(const flow_event &event)
{
    ++m_events[static_cast<std::size_t>(event.kind)];
}

void flow_meter::record(const request_timing &timing)
{
    if (timing.step == request_step::answered) {
        m_answered.record(timing.span);
        return;
    }
    const std::lock_guard<std::mutex> lock(m_lock);
    m_waited
        .try_emplace(timing.priority, "request_wait_ms",
                     "Wait of requests at the agent for a slot of the server.")
        .first->second.record(timing.span);
}

std::vector<metrics::sample> flow_meter::samples() const
{
    std::vector<metrics::sample> samples;
    for (std::size_t kind = 1; kind <= flowEventKinds; ++kind)
        samples.push_back(metrics::sample {
            "flow_events_total",
            "Decisions about flows.",
            metrics::counter_value {m_events[kind]},
            {metrics::label {"event", nameOf(static_cast<flow_event_kind>(kind))}}});
    samples.push_back(metrics::sample {
        "cold_offers_total", "Flows offered to another agent because the server warms up.",
        metrics::counter_value {m_events[static_cast<std::size_t>(flow_event_kind::cold)]}});
    samples.push_back(metrics::sample {"requests_in_transfer",
                                       "Uploads that arrive and hold no slot of the server.",
                                       metrics::gauge_value {static_cast<double>(m_transfers)}});
    samples.push_back(metrics::sample {
        "requests_displaced_total",
        "Requests dropped from a full queue for those of a higher priority.",
        metrics::counter_value {m_events[static_cast<std::size_t>(flow_event_kind::displaced)]}});
    const std::lock_guard<std::mutex> lock(m_lock);
    for (const auto &[priority, waited] : m_waited) {
        const metrics::sample all = waited.current();
        samples.push_back(
            metrics::sample {all.name,
                             all.help,
                             all.value,
                             {metrics::label {"priority", std::to_string(priority)}}});
    }
    samples.push_back(m_answered.current());
    return samples;
}

} // namespace lycheeshunt::flows
