#include "baseline_cluster.h"

namespace lycheeshunt::crest {

namespace {

constexpr std::int64_t sampleEvery = 100;
constexpr std::int64_t reportEvery = 2000;

} // namespace

baseline_cluster::baseline_cluster(const scenario &given, baseline_policy policy)
    : m_given(given), m_policy(policy), m_servers(given.servers), m_random(given.seed)
{
    m_result.arrivals = arrivalsOf(given);
    m_result.outcomes.resize(m_result.arrivals.size());
}

run_result baseline_cluster::run()
{
    schedule(0);
    sample();
    reportAll();
    m_events.runUntil(m_given.duration + 60'000);
    m_result.busy = m_busy.result();
    m_result.flows = m_flows.result();
    return std::move(m_result);
}

void baseline_cluster::schedule(std::size_t work)
{
    if (work >= m_result.arrivals.size())
        return;
    m_events.after(m_result.arrivals[work].at - m_events.now(), [this, work]() {
        arrive(work);
        schedule(work + 1);
    });
}

void baseline_cluster::arrive(std::size_t work)
{
    const std::size_t index = pick();
    ++m_servers[index].flows;
    if (m_result.arrivals[work].isFeed()) {
        closeLater(index, work);
        return;
    }
    m_servers[index].queue.push_back(work);
    serve(index);
}

std::size_t baseline_cluster::pick()
{
    if (m_policy != baseline_policy::random)
        return leastOf(m_policy == baseline_policy::staleLeast);
    const std::size_t draining = drainingAt(m_given, m_events.now());
    std::uniform_int_distribution<std::size_t> any(0, m_servers.size() - 1);
    std::size_t index = any(m_random);
    while (index == draining)
        index = any(m_random);
    return index;
}

std::size_t baseline_cluster::leastOf(bool reported) const
{
    const std::size_t draining = drainingAt(m_given, m_events.now());
    const auto lengthOf
        = [&](const server &each) { return reported ? each.reported : each.length(); };
    std::size_t best = draining == 0 ? 1 : 0;
    for (std::size_t index = best + 1; index < m_servers.size(); ++index) {
        const server &each = m_servers[index];
        const server &least = m_servers[best];
        if (index == draining || lengthOf(each) > lengthOf(least))
            continue;
        if (lengthOf(each) < lengthOf(least) || each.flows < least.flows)
            best = index;
    }
    return best;
}

void baseline_cluster::serve(std::size_t index)
{
    server &each = m_servers[index];
    while (!each.queue.empty() && each.busy < m_given.limits.slots) {
        const std::size_t work = each.queue.front();
        each.queue.pop_front();
        if (m_result.arrivals[work].deadline() <= m_events.now()) {
            m_result.outcomes[work].toldNotRunAt = m_events.now();
            closeLater(index, work);
            continue;
        }
        ++each.busy;
        ++m_result.outcomes[work].runs;
        m_result.outcomes[work].startedAt = m_events.now();
        m_events.after(m_result.arrivals[work].service,
                       [this, index, work]() { finish(index, work); });
    }
}

void baseline_cluster::finish(std::size_t index, std::size_t work)
{
    --m_servers[index].busy;
    m_result.outcomes[work].answeredAt = m_events.now();
    closeLater(index, work);
    serve(index);
}

void baseline_cluster::closeLater(std::size_t index, std::size_t work)
{
    m_events.after(m_result.arrivals[work].lingers, [this, index]() { --m_servers[index].flows; });
}

void baseline_cluster::sample()
{
    std::vector<double> busy;
    std::vector<double> flows;
    for (const server &each : m_servers) {
        busy.push_back(static_cast<double>(each.busy));
        flows.push_back(static_cast<double>(each.flows));
    }
    const std::size_t draining = drainingAt(m_given, m_events.now());
    m_busy.add(busy, draining);
    m_flows.add(flows, draining);
    if (m_events.now() < m_given.duration - sampleEvery)
        m_events.after(sampleEvery, [this]() { sample(); });
}

void baseline_cluster::reportAll()
{
    for (server &each : m_servers)
        each.reported = each.length();
    if (m_events.now() < m_given.duration)
        m_events.after(reportEvery, [this]() { reportAll(); });
}

} // namespace lycheeshunt::crest
