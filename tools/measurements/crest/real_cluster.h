// Agents that run the product's own decisions, beside servers of a simple model. A message between
// two agents takes one hop.

#pragma once

#include "event_queue.h"
#include "lycheeshunt/admission/decision.h"
#include "lycheeshunt/placement/decision.h"
#include "lycheeshunt/requests/decision.h"
#include "run_result.h"
#include "scenario.h"

#include <map>
#include <random>

namespace lycheeshunt::crest {

class real_cluster
{
public:
    explicit real_cluster(const scenario &given);

    run_result run();

    std::uint64_t placementDecisions() const { return m_placementDecisions; }

private:
    struct agent
    {
        admission::admission_state slots;
        placement::placement_state placing;
        requests::request_state director;
        std::uint32_t flows = 0;
        bool draining = false;
        // Who asked for the work that admission gives up.
        std::size_t wanting = 0;
        // Grows when the agent is lost, so that what it had under way ends for nobody.
        std::uint32_t incarnation = 0;
    };

    void schedule(std::size_t work);
    void arrive(std::size_t work);
    void disturb(std::size_t work);
    void send(std::size_t to, const requests::request_message &message);
    void direct(std::size_t index, const requests::request_message &message);
    void carryOut(std::size_t index, const requests::request_action &action);
    void place(std::size_t index, const placement::placement_message &message);
    void carryOut(std::size_t index, const placement::placement_action &action);
    void give(std::size_t index, std::size_t to);
    void report(std::size_t index, const placement::send_report &sent);
    void take(std::size_t index, std::size_t work);
    void admit(std::size_t index, const admission::admission_message &message);
    void carryOut(std::size_t index, const admission::admission_action &action);
    void start(std::size_t index, std::size_t work);
    void finish(std::size_t index, std::size_t work);
    void refuse(std::size_t index, std::size_t work, base::error_code reason);
    void reply(std::size_t work, const requests::request_outcome &outcome);
    void closeLater(std::size_t index, std::size_t work);
    void countLoad(std::size_t index);
    void tick();
    void sample();
    void loseAgent(std::size_t index);

    std::size_t directorOf(std::size_t work) const;
    requests::request_identity identityOf(std::size_t work) const;
    base::clock_time clock() const { return base::clock_time::ofMillis(m_events.now()); }

    const scenario m_given;
    event_queue m_events;
    run_result m_result;
    std::vector<agent> m_agents;
    load_samples m_busy;
    load_samples m_flows;
    std::mt19937 m_random;
    std::uint64_t m_placementDecisions = 0;
};

} // namespace lycheeshunt::crest
