// Simulates the baselines that the product is compared with: each server has one FIFO queue, and a
// policy picks the server of each new flow.

#pragma once

#include "event_queue.h"
#include "run_result.h"
#include "scenario.h"

#include <deque>
#include <random>

namespace lycheeshunt::crest {

enum class baseline_policy : std::uint8_t {
    ideal, // fewest running and queued requests right now, then fewest flows
    random,
    staleLeastConnections, // fewest running and queued requests by reports sent every 2 s
};

class baseline_cluster
{
public:
    baseline_cluster(const scenario &parameters, baseline_policy policy);

    run_result run();

private:
    struct server
    {
        std::size_t busy = 0;
        std::deque<std::size_t> queue = {};
        std::size_t flows = 0;
        std::size_t reportedLength = 0;

        std::size_t length() const { return busy + queue.size(); }
    };

    void scheduleArrival(std::size_t work);
    void handleArrival(std::size_t work);
    std::size_t pickServer();
    std::size_t leastLoaded(bool useReports) const;
    void startQueued(std::size_t index);
    void finish(std::size_t index, std::size_t work);
    void scheduleClose(std::size_t index, std::size_t work);
    void sample();
    void refreshReports();

    const scenario m_scenario;
    const baseline_policy m_policy;
    event_queue m_events;
    run_result m_result;
    std::vector<server> m_servers;
    load_samples m_busy;
    load_samples m_flows;
    std::mt19937 m_random;
};

} // namespace lycheeshunt::crest
