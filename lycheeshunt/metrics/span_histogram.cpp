#include "lycheeshunt/metrics/span_histogram.h"

namespace lycheeshunt::metrics {

namespace {

// Milliseconds. Each bound is about twice the previous one; the range covers a disk sync and the
// longest request.
const std::vector<double> bounds {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

} // namespace

span_histogram::span_histogram(std::string name, std::string help)
    : m_name(std::move(name)), m_help(std::move(help)), m_spans(bounds)
{
}

void span_histogram::record(base::clock_time span)
{
    const std::lock_guard<std::mutex> lock(m_lock);
    m_spans.record(static_cast<double>(span.millis()));
}

sample span_histogram::current() const
{
    const std::lock_guard<std::mutex> lock(m_lock);
    return sample {m_name, m_help, m_spans.value()};
}

} // namespace lycheeshunt::metrics
