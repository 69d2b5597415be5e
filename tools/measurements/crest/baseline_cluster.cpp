#include "baseline_cluster.h"

namespace lycheeshunt::crest {

namespace {

constexpr std::int64_t sampleInterval = 100;
constexpr std::int64_t reportInterval = 2000;

} // namespace

baseline_cluster::baseline_cluster(const scenario &parameters, baseline_policy policy)
    : m_scenario(parameters), m_policy(policy), m_servers(parameters.servers),
      m_random(parameters.seed)
{
    m_result.arrivals = arrivalsOf(parameters);
    m_result.outcomes.resize(m_result.arrivals.size());
}

run_result baseline_cluster::run()
{
    scheduleArrival(0);
    sample();
    refreshReports();
    m_events.runUntil(m_scenario.duration + 60'000);
    m_result.busy = m_busy.result();
    m_result.flows = m_flows.result();
    return std::move(m_result);
}

void baseline_cluster::scheduleArrival(std::size_t work)
{
    if (work >= m_result.arrivals.size())
        return;
    m_events.after(m_result.arrivals[work].arrivedAt - m_events.now(), [this, work]() {
        handleArrival(work);
        scheduleArrival(work + 1);
    });
}

void baseline_cluster::handleArrival(std::size_t work)
{
    const std::size_t index = pickServer();
    ++m_servers[index].flows;
    if (m_result.arrivals[work].isFeed()) {
        scheduleClose(index, work);
        return;
    }
    m_servers[index].queue.push_back(work);
    startQueued(index);
}

std::size_t baseline_cluster::pickServer()
{
    if (m_policy != baseline_policy::random)
        return leastLoaded(m_policy == baseline_policy::staleLeastConnections);
    const std::size_t draining = drainingAt(m_scenario, m_events.now());
    std::uniform_int_distribution<std::size_t> any(0, m_servers.size() - 1);
    std::size_t index = any(m_random);
    while (index == draining)
        index = any(m_random);
    return index;
}

std::size_t baseline_cluster::leastLoaded(bool useReports) const
{
    const std::size_t draining = drainingAt(m_scenario, m_events.now());
    const auto lengthOf = [&](const server &current) {
        return useReports ? current.reportedLength : current.length();
    };
    std::size_t best = draining == 0 ? 1 : 0;
    for (std::size_t index = best + 1; index < m_servers.size(); ++index) {
        const server &current = m_servers[index];
        const server &least = m_servers[best];
        if (index == draining || lengthOf(current) > lengthOf(least))
            continue;
        if (lengthOf(current) < lengthOf(least) || current.flows < least.flows)
            best = index;
    }
    return best;
}

void baseline_cluster::startQueued(std::size_t index)
{
    server &current = m_servers[index];
    while (!current.queue.empty() && current.busy < m_scenario.limits.slots) {
        const std::size_t work = current.queue.front();
        current.queue.pop_front();
        if (m_result.arrivals[work].deadline() <= m_events.now()) {
            m_result.outcomes[work].refusedAt = m_events.now();
            scheduleClose(index, work);
            continue;
        }
        ++current.busy;
        ++m_result.outcomes[work].runs;
        m_result.outcomes[work].startedAt = m_events.now();
        m_events.after(m_result.arrivals[work].serviceTime,
                       [this, index, work]() { finish(index, work); });
    }
}

void baseline_cluster::finish(std::size_t index, std::size_t work)
{
    --m_servers[index].busy;
    m_result.outcomes[work].answeredAt = m_events.now();
    scheduleClose(index, work);
    startQueued(index);
}

void baseline_cluster::scheduleClose(std::size_t index, std::size_t work)
{
    m_events.after(m_result.arrivals[work].lingerTime,
                   [this, index]() { --m_servers[index].flows; });
}

void baseline_cluster::sample()
{
    std::vector<double> busy;
    std::vector<double> flows;
    for (const server &current : m_servers) {
        busy.push_back(static_cast<double>(current.busy));
        flows.push_back(static_cast<double>(current.flows));
    }
    const std::size_t draining = drainingAt(m_scenario, m_events.now());
    m_busy.add(busy, draining);
    m_flows.add(flows, draining);
    if (m_events.now() < m_scenario.duration - sampleInterval)
        m_events.after(sampleInterval, [this]() { sample(); });
}

void baseline_cluster::refreshReports()
{
    for (server &current : m_servers)
        current.reportedLength = current.length();
    if (m_events.now() < m_scenario.duration)
        m_events.after(reportInterval, [this]() { refreshReports(); });
}

} // namespace lycheeshunt::crest
