// Counts an agent's decisions about flows and measures the duration of requests. Thread-safe: the
// flow thread records, the metrics thread reads.

#pragma once

#include "lycheeshunt/flows/flow_event.h"
#include "lycheeshunt/flows/request_timing.h"
#include "lycheeshunt/metrics/span_histogram.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <vector>

namespace lycheeshunt::flows {

class flow_meter
{
public:
    flow_meter();

    void record(const flow_event &event);
    void record(const request_timing &timing);
    // The uploads in transfer now.
    void setTransfers(std::size_t transfers) { m_transfers = transfers; }
    std::vector<metrics::sample> samples() const;

private:
    std::array<std::atomic<std::uint64_t>, flowEventKinds + 1> m_events {};
    std::atomic<std::uint64_t> m_transfers = 0;
    // By the priority of the request.
    mutable std::mutex m_lock;
    std::map<std::uint8_t, metrics::span_histogram> m_waited;
    metrics::span_histogram m_answered;
};

} // namespace lycheeshunt::flows
