// One run: starts the deployment, carries out the schedule, waits until everything has recovered,
// and stops all processes.

#pragma once

#include "tools/soaktest/caller_duty.h"
#include "tools/soaktest/check_duty.h"
#include "tools/soaktest/deployment.h"
#include "tools/soaktest/link_duty.h"
#include "tools/soaktest/maintenance_duty.h"
#include "tools/soaktest/operator_duty.h"
#include "tools/soaktest/planned_order.h"
#include "tools/soaktest/server_duty.h"
#include "tools/soaktest/soak_options.h"
#include "tools/soaktest/soak_result.h"

#include <functional>
#include <set>

namespace lycheeshunt::soak {

class soak_run
{
public:
    explicit soak_run(soak_options options);
    ~soak_run();

    soak_result run();

private:
    void start();
    void runSchedule();
    void settle();
    void stopAll();

    void carryOut(const process_order &order);
    void carryOut(const maintenance_order &order);
    void carryOut(const link_order &order);
    void awaitEnd(const std::string &process);
    bool isServing();
    bool submitServices();
    void auditTickets();
    bool awaitOutcome(const http_request &request, std::uint64_t number);
    // Reports processes that ended, and starts those again that should run.
    void reapProcesses();
    // Polls until the condition holds; false after recoveryLimit.
    bool await(const std::function<bool()> &condition);
    void pauseUntil(base::clock_time when);
    void note(const std::string &text);
    void showProgress();

    const soak_options m_options;
    const std::shared_ptr<const topology> m_topology;
    soak_result m_result;
    base::clock_time m_startedAt;
    base::clock_time m_nextProgressAt;
    check_duty m_checks;
    std::unique_ptr<deployment> m_deployment;
    std::unique_ptr<link_duty> m_links;
    std::unique_ptr<server_duty> m_servers;
    std::unique_ptr<caller_duty> m_callers;
    std::vector<std::unique_ptr<operator_duty>> m_operators;
    std::unique_ptr<maintenance_duty> m_maintenance;
    std::set<std::string> m_drained;
    std::string m_status;
};

} // namespace lycheeshunt::soak
