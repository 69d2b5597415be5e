#include "lycheeshunt/flows/flow_meter.h"

#include "lycheeshunt/flows/event_log.h"

namespace lycheeshunt::flows {

flow_meter::flow_meter()
    : m_waited("request_wait_ms", "Wait of requests at the agent for a slot of the server."),
      m_answered("request_server_ms", "From a request's first packet at the server to its answer.")
{
}

void flow_meter::record(const flow_event &event)
{
    ++m_events[static_cast<std::size_t>(event.kind)];
}

void flow_meter::record(const request_timing &timing)
{
    if (timing.step == request_step::waited)
        m_waited.record(timing.span);
    else
        m_answered.record(timing.span);
}

std::vector<metrics::sample> flow_meter::samples() const
{
    std::vector<metrics::sample> samples;
    samples.reserve(flowEventKinds + 3);
    for (std::size_t kind = 1; kind <= flowEventKinds; ++kind)
        samples.push_back(metrics::sample {
            "flow_events_total",
            "Decisions about flows.",
            metrics::counter_value {m_events[kind]},
            {metrics::label {"event", nameOf(static_cast<flow_event_kind>(kind))}}});
    samples.push_back(metrics::sample {
        "cold_offers_total", "Flows offered to another agent because the server warms up.",
        metrics::counter_value {m_events[static_cast<std::size_t>(flow_event_kind::cold)]}});
    samples.push_back(m_waited.current());
    samples.push_back(m_answered.current());
    return samples;
}

} // namespace lycheeshunt::flows
