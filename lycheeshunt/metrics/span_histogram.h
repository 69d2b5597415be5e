// Accumulates durations in a histogram, in milliseconds. Thread-safe: one thread may record while
// another reads the sample.
//
//     span_histogram writes("storage_write_ms", "Time that a synced write took.");
//     writes.record(base::clock_time::steady() - begun);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/metrics/distribution.h"
#include "lycheeshunt/metrics/sample.h"

#include <mutex>
#include <string>

namespace lycheeshunt::metrics {

class span_histogram
{
public:
    span_histogram(std::string name, std::string help);

    void record(base::clock_time span);
    sample current() const;

private:
    const std::string m_name;
    const std::string m_help;
    mutable std::mutex m_lock;
    distribution m_spans;
};

} // namespace lycheeshunt::metrics
