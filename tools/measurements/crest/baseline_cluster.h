// Baselines: servers with one plain queue each, and three ways to pick the server.

#pragma once

#include "event_queue.h"
#include "run_result.h"
#include "scenario.h"

#include <deque>
#include <random>

namespace lycheeshunt::crest {

enum class baseline_policy : std::uint8_t {
    ideal, // shortest true queue, then fewest flows
    random,
    staleLeast, // fewest busy and waiting on a report 2 s old
};

class baseline_cluster
{
public:
    baseline_cluster(const scenario &given, baseline_policy policy);

    run_result run();

private:
    struct server
    {
        std::size_t busy = 0;
        std::deque<std::size_t> queue = {};
        std::size_t flows = 0;
        std::size_t reported = 0;

        std::size_t length() const { return busy + queue.size(); }
    };

    void schedule(std::size_t work);
    void arrive(std::size_t work);
    std::size_t pick();
    std::size_t leastOf(bool reported) const;
    void serve(std::size_t index);
    void finish(std::size_t index, std::size_t work);
    void closeLater(std::size_t index, std::size_t work);
    void sample();
    void reportAll();

    const scenario m_given;
    const baseline_policy m_policy;
    event_queue m_events;
    run_result m_result;
    std::vector<server> m_servers;
    load_samples m_busy;
    load_samples m_flows;
    std::mt19937 m_random;
};

} // namespace lycheeshunt::crest
