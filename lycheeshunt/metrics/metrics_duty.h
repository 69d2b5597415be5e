// The metrics thread of a process: stores the latest report of each duty and formats all of them on
// a scrape request. Thread-safe counters are read by collector functions at each scrape.
//
//     metrics_duty metrics({[&]() { return report {"entry", {...}}; }});
//     metrics.inbox().tryPush(report {...});

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/metrics/metrics_message.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lycheeshunt::metrics {

class metrics_duty
{
public:
    using collector = std::function<report()>;

    // The collectors are called on the metrics thread and must be thread-safe.
    explicit metrics_duty(std::vector<collector> collectors);

    base::ring<metrics_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }

private:
    void handle(const metrics_message &message);
    void storeReport(const report &latest);
    void collect();

    const std::vector<collector> m_collectors;
    std::map<std::string, report> m_reports;
    base::duty<metrics_message> m_duty;
};

} // namespace lycheeshunt::metrics
