#include "tools/soaktest/soak_run.h"

#include "lycheeshunt/base/free_endpoint_test.h"
#include "tools/soaktest/http_client.h"
#include "tools/soaktest/recovery_limit.h"
#include "tools/soaktest/schedule.h"

#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

constexpr clock_time pollInterval = clock_time::ofMillis(20);
constexpr clock_time progressInterval = clock_time::ofSeconds(5);
constexpr clock_time requestTimeout = clock_time::ofSeconds(5);
constexpr std::size_t operatorCount = 2;
constexpr std::uint64_t servicesTicket = 1;
constexpr std::uint64_t lastTicket = 1'000'000'000;
constexpr int statusOk = 200;

std::string ticketPath(std::uint64_t number)
{
    return "/v1/tickets/" + std::to_string(number);
}

} // namespace

soak_run::soak_run(soak_options options)
    : m_options(std::move(options)),
      m_topology(std::make_shared<const topology>(defaultTopology())), m_checks(m_topology)
{
    std::string folder = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error("can't create a folder in " + folder);
    m_result.folder = folder;
}

soak_run::~soak_run() = default;

soak_result soak_run::run()
{
    bool hasStarted = false;
    try {
        start();
        hasStarted = true;
        runSchedule();
        settle();
        stopAll();
    } catch (const std::exception &failure) {
        m_result.obstacle = failure.what();
    }
    m_maintenance.reset();
    m_operators.clear();
    m_result.answers = m_callers == nullptr ? 0 : m_callers->answers();
    m_callers.reset();
    m_servers.reset();
    m_links.reset();
    m_deployment.reset();
    for (const violation &found : m_checks.finish()) {
        // Until the deployment has started, an exit shows that the soak could not run.
        if (hasStarted)
            m_result.violations.push_back({found.at - m_startedAt, found.check, found.details});
        else
            note(found.check + ": " + found.details);
    }
    m_result.announcedResets = m_checks.announcedResets();
    if (m_result.violations.empty() && m_result.obstacle.empty())
        std::filesystem::remove_all(m_result.folder);
    return m_result;
}

void soak_run::start()
{
    const event_sink sink = [this](const observation &seen) { m_checks.push(seen); };
    const base::endpoint fabric = base::freeEndpoint();
    base::result<base::file_descriptor> socket = base::openDatagramSocket(fabric);
    if (const base::error *failure = base::errorOf(socket))
        throw std::runtime_error(failure->text());
    m_deployment
        = std::make_unique<deployment>(*m_topology, m_options.program, m_result.folder, fabric);
    std::map<std::string, process_addresses> agents;
    for (auto it = m_topology->backends.begin(); it != m_topology->backends.end(); ++it)
        agents.emplace(it->first, m_deployment->addressesOf(it->first));
    m_servers = std::make_unique<server_duty>(agents, sink);
    std::map<std::string, process_addresses> controlAddresses;
    for (const std::string &control : m_topology->controls)
        controlAddresses.emplace(control, m_deployment->addressesOf(control));
    m_links = std::make_unique<link_duty>(controlAddresses);
    m_startedAt = clock_time::steady();
    m_deployment->startAll();
    if (!await([this]() { return isServing(); }) || !await([this]() { return submitServices(); }))
        throw std::runtime_error("the deployment did not start");

    m_startedAt = clock_time::steady();
    std::vector<base::endpoint> addresses;
    for (auto it = m_topology->serviceOfAddress.begin(); it != m_topology->serviceOfAddress.end();
         ++it)
        addresses.push_back(it->first);
    m_callers = std::make_unique<caller_duty>(
        base::takeValue(std::move(socket)), m_deployment->entryPackets(),
        caller_model(addresses, m_options.seed), m_options.seed, sink);
    const std::vector<base::endpoint> controls = m_deployment->controlApis();
    for (std::size_t i = 0; i < operatorCount; ++i)
        m_operators.push_back(std::make_unique<operator_duty>(
            controls,
            operator_model(i, controls.size(), m_options.seed * operatorCount + i, m_startedAt),
            sink));
    m_maintenance = std::make_unique<maintenance_duty>(controls, m_options.seed, sink);
}

bool soak_run::isServing()
{
    const std::string serving = R"("state":"serving")";
    const std::size_t members = m_topology->entries.size() + m_topology->backends.size();
    const std::optional<http_answer> answer
        = call(m_deployment->controlApis().front(), {"GET", "/v1/status"}, requestTimeout);
    m_status = answer ? answer->body : "no answer";
    std::size_t found = 0;
    for (std::size_t at = 0; (at = m_status.find(serving, at)) != std::string::npos;
         at += serving.size())
        ++found;
    return found == members;
}

bool soak_run::submitServices()
{
    std::string changes;
    for (auto it = m_topology->serviceOfAddress.begin(); it != m_topology->serviceOfAddress.end();
         ++it)
        changes += (changes.empty() ? "" : ",")
            + serviceChange(it->second, it->first.text(), servicesTicket);
    for (const base::endpoint &control : m_deployment->controlApis()) {
        const std::optional<http_answer> answer = call(
            control,
            {"POST", "/v1/tickets?wait_ms=3000", serviceTicket(servicesTicket, "soak", changes)},
            requestTimeout);
        if (answer && answer->body.find(R"("in_force":true)") != std::string::npos)
            return true;
    }
    return false;
}

void soak_run::runSchedule()
{
    clock_time late;
    for (const planned_order &planned :
         scheduleFor(*m_topology, m_options.seed, m_options.length)) {
        pauseUntil(m_startedAt + late + planned.at);
        note(textOf(planned.order));
        std::visit([this](const auto &order) { carryOut(order); }, planned.order);
        // An order that had to wait delays the later ones: without the time between a start and a
        // stop, SIGTERM would reach a process that does not handle signals yet.
        late = std::max(late, clock_time::steady() - m_startedAt - planned.at);
    }
    pauseUntil(m_startedAt + late + m_options.length);
}

void soak_run::carryOut(const process_order &order)
{
    if (order.change == process_change::start)
        awaitEnd(order.process);
    if (order.change == process_change::stop && m_drained.count(order.process) > 0) {
        await([this]() { return m_maintenance->isIdle(); });
        await([&]() { return m_servers->openFlows(order.process) == 0; });
        note(order.process + " has " + std::to_string(m_servers->openFlows(order.process))
             + " open flows");
    }
    m_checks.push(process_ordered {order});
    m_deployment->change(order);
}

void soak_run::carryOut(const maintenance_order &order)
{
    m_maintenance->push(order);
    if (const drain_order *drain = std::get_if<drain_order>(&order)) {
        if (drain->isDraining)
            m_drained.insert(drain->agent);
        else
            m_drained.erase(drain->agent);
    }
}

void soak_run::carryOut(const link_order &order)
{
    m_checks.push(link_ordered {order});
    m_links->push(order);
}

void soak_run::awaitEnd(const std::string &process)
{
    if (await([&]() { return !m_deployment->isRunning(process); }))
        return;
    m_checks.push(process_stuck {process});
    m_deployment->change({process, process_change::kill});
    await([&]() { return !m_deployment->isRunning(process); });
}

void soak_run::settle()
{
    note("settle");
    // It reports what it gives up.
    while (!m_maintenance->isIdle())
        pauseUntil(clock_time::steady() + pollInterval);
    for (const std::unique_ptr<operator_duty> &each : m_operators)
        each->stop();
    if (!await([this]() { return isServing(); }))
        m_checks.push(member_missing {m_status});
    m_callers->finish();
    if (!await([this]() { return m_callers->openFlows() == 0; }))
        m_callers->reportUnanswered();
    auditTickets();
}

// After everything has recovered, control has each accepted ticket, and a last one comes into
// force on every VM.
void soak_run::auditTickets()
{
    for (const std::unique_ptr<operator_duty> &each : m_operators) {
        for (const std::uint64_t number : each->accepted()) {
            const bool isAnswered = awaitOutcome({"GET", ticketPath(number)}, number);
            if (!isAnswered)
                m_checks.push(not_in_force {number, "control: no answer to a query"});
        }
    }
    const http_request last {
        "POST", "/v1/tickets",
        serviceTicket(lastTicket, "soak", serviceChange("last", "198.51.100.2:443", 1))};
    std::string body;
    const bool isInForce
        = awaitOutcome(last, lastTicket) && await([&]() {
              for (const base::endpoint &control : m_deployment->controlApis()) {
                  const std::optional<http_answer> answer
                      = call(control, {"GET", ticketPath(lastTicket)}, requestTimeout);
                  body = answer && answer->status == statusOk ? answer->body : body;
              }
              return body.find(R"("in_force":true)") != std::string::npos;
          });
    if (!isInForce)
        m_checks.push(not_in_force {lastTicket, "some VMs: " + body});
}

// Asks the control VMs in turn, since only the leader answers, until one gives an outcome.
bool soak_run::awaitOutcome(const http_request &request, std::uint64_t number)
{
    return await([&]() {
        for (const base::endpoint &control : m_deployment->controlApis()) {
            const operator_call query {0, request, clock_time::steady()};
            const std::optional<http_answer> answer = call(control, request, requestTimeout);
            const std::vector<observation> seen = answer
                ? observationsOf(query, *answer, number, query.askedAt)
                : std::vector<observation> {};
            for (const observation &one : seen)
                m_checks.push(one);
            if (!seen.empty())
                return true;
        }
        return false;
    });
}

void soak_run::stopAll()
{
    note("stop all");
    std::vector<std::string> processes = m_topology->controls;
    processes.insert(processes.end(), m_topology->entries.begin(), m_topology->entries.end());
    for (auto it = m_topology->backends.begin(); it != m_topology->backends.end(); ++it)
        processes.push_back(it->first);
    for (const std::string &process : processes)
        m_deployment->change({process, process_change::stop});
    for (const std::string &process : processes)
        awaitEnd(process);
    for (const fault_logged &fault : m_deployment->loggedFaults())
        m_checks.push(fault);
}

void soak_run::reapProcesses()
{
    for (const process_exited &ended : m_deployment->reap()) {
        m_checks.push(ended);
        note(ended.process + " ended" + (ended.wasOrdered ? "" : " by itself"));
        // A process that ends at its start would do so again at once.
        if (!ended.wasOrdered && m_callers != nullptr)
            m_deployment->change({ended.process, process_change::start});
    }
}

bool soak_run::await(const std::function<bool()> &condition)
{
    const clock_time deadline = clock_time::steady() + recoveryLimit;
    while (!condition()) {
        if (clock_time::steady() >= deadline)
            return false;
        pauseUntil(clock_time::steady() + pollInterval);
    }
    return true;
}

void soak_run::pauseUntil(clock_time when)
{
    do {
        reapProcesses();
        showProgress();
        const clock_time left = std::min(pollInterval, when - clock_time::steady());
        if (left > clock_time())
            std::this_thread::sleep_for(std::chrono::milliseconds(left.millis()));
    } while (clock_time::steady() < when);
}

void soak_run::showProgress()
{
    const clock_time now = clock_time::steady();
    if (now < m_nextProgressAt || m_callers == nullptr)
        return;
    m_nextProgressAt = now + progressInterval;
    std::cout << "seed " << m_options.seed << ": " << (now - m_startedAt).millis() << " ms, "
              << m_callers->answers() << " answers, " << m_callers->openFlows() << " flows"
              << std::endl;
}

void soak_run::note(const std::string &text)
{
    m_result.timeline.push_back(std::to_string((clock_time::steady() - m_startedAt).millis())
                                + " ms: " + text);
}

} // namespace lycheeshunt::soak
