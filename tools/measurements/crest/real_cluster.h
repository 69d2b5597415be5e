// Simulates agents that run the product's own decisions (placement, admission and requests) next to
// modelled servers. A message between two agents takes hopMillis.

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
    explicit real_cluster(const scenario &parameters);

    run_result run();

    std::uint64_t placementDecisions() const { return m_placementDecisions; }

private:
    struct agent
    {
        admission::admission_state slots;
        placement::placement_state placementState;
        requests::request_state director;
        std::uint32_t flows = 0;
        bool draining = false;
        // Index of the agent that requested the work which admission is about to release.
        std::size_t requester = 0;
        // Incremented when the agent fails, so that events scheduled before the failure are
        // ignored.
        std::uint32_t incarnation = 0;
    };

    void scheduleArrival(std::size_t work);
    void handleArrival(std::size_t work);
    void injectCallerFault(std::size_t work);
    void send(std::size_t to, const requests::request_message &message);
    void runDirector(std::size_t index, const requests::request_message &message);
    void carryOut(std::size_t index, const requests::request_action &action);
    void runPlacement(std::size_t index, const placement::placement_message &message);
    void carryOut(std::size_t index, const placement::placement_action &action);
    void releaseWork(std::size_t index, std::size_t to);
    void sendReport(std::size_t index, const placement::send_report &sent);
    void acceptFlow(std::size_t index, std::size_t work);
    void runAdmission(std::size_t index, const admission::admission_message &message);
    void carryOut(std::size_t index, const admission::admission_action &action);
    void start(std::size_t index, std::size_t work);
    void finish(std::size_t index, std::size_t work);
    void refuse(std::size_t index, std::size_t work, base::error_code reason);
    void handleReply(std::size_t work, const requests::request_outcome &outcome);
    void scheduleClose(std::size_t index, std::size_t work);
    void updateLoad(std::size_t index);
    void tick();
    void sample();
    void failAgent(std::size_t index);

    std::size_t directorOf(std::size_t work) const
    {
        return m_result.arrivals[work].hash % m_agents.size();
    }
    requests::request_identity identityOf(std::size_t work) const
    {
        return requests::request_identity {1, work};
    }
    base::clock_time clock() const { return base::clock_time::ofMillis(m_events.now()); }

    const scenario m_scenario;
    event_queue m_events;
    run_result m_result;
    std::vector<agent> m_agents;
    load_samples m_busy;
    load_samples m_flows;
    std::mt19937 m_random;
    std::uint64_t m_placementDecisions = 0;
};

} // namespace lycheeshunt::crest
