// The metrics thread of a process: holds the latest report of each duty and writes them as text
// when asked. Counters that threads keep for anyone to read are collected by functions.
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
    void keep(const report &latest);
    void collect();

    const std::vector<collector> m_collectors;
    std::map<std::string, report> m_reports;
    base::duty<metrics_message> m_duty;
};

} // namespace lycheeshunt::metrics
