#include "real_cluster.h"

#include "lycheeshunt/base/overloaded.h"

#include <string>

namespace lycheeshunt::crest {

namespace {

constexpr std::int64_t sampleInterval = 100;
constexpr std::int64_t tickInterval = 10;
constexpr std::int64_t agentFailureTime = 20'000;
constexpr std::int64_t restartMillis = 1000;
constexpr std::size_t failedAgent = 3;

base::node_id nodeOf(std::size_t index)
{
    return base::node_id(index + 1);
}

std::size_t indexOf(base::node_id node)
{
    return static_cast<std::size_t>(node.value() - 1);
}

std::size_t workOf(const requests::request_identity &identity)
{
    return static_cast<std::size_t>(identity.number);
}

} // namespace

real_cluster::real_cluster(const scenario &parameters)
    : m_scenario(parameters), m_random(parameters.seed + 1)
{
    m_result.arrivals = arrivalsOf(parameters);
    m_result.outcomes.resize(m_result.arrivals.size());
    std::vector<placement::peer> peers;
    for (std::size_t index = 0; index < parameters.servers; ++index)
        peers.push_back(placement::peer {nodeOf(index), base::incarnation(1),
                                         "zone-" + std::to_string(index % 4)});
    for (std::size_t index = 0; index < parameters.servers; ++index)
        m_agents.push_back(agent {admission::admission_state(parameters.limits),
                                  placement::placement_state(peers[index], parameters.rules),
                                  requests::request_state(parameters.seed)});
    for (std::size_t index = 0; index < parameters.servers; ++index) {
        runPlacement(index, placement::peers_changed {peers});
        updateLoad(index);
    }
}

run_result real_cluster::run()
{
    scheduleArrival(0);
    tick();
    sample();
    if (m_scenario.callerFaults)
        m_events.after(agentFailureTime, [this]() { failAgent(failedAgent); });
    m_events.runUntil(m_scenario.duration + 60'000);
    m_result.busy = m_busy.result();
    m_result.flows = m_flows.result();
    return std::move(m_result);
}

void real_cluster::scheduleArrival(std::size_t work)
{
    if (work >= m_result.arrivals.size())
        return;
    m_events.after(m_result.arrivals[work].arrivedAt - m_events.now(), [this, work]() {
        handleArrival(work);
        scheduleArrival(work + 1);
    });
}

void real_cluster::handleArrival(std::size_t work)
{
    if (!m_scenario.callerFaults) {
        runPlacement(directorOf(work), placement::flow_offered {placement::offer_id(work)});
        return;
    }
    const work_item &item = m_result.arrivals[work];
    const requests::request_arrived request {identityOf(work), requests::reply_handle(work),
                                             base::clock_time::ofMillis(item.deadline()), false,
                                             base::clock_time::ofMillis(item.arrivedAt)};
    ++m_result.outcomes[work].arrivals;
    send(directorOf(work), request);
    injectCallerFault(work);
}

// 4% of the callers resend and 1% cancel, at a random time up to 20 ms after twice the service
// time of the request.
void real_cluster::injectCallerFault(std::size_t work)
{
    const work_item &item = m_result.arrivals[work];
    std::uniform_int_distribution<std::int64_t> delay(0, 2 * item.serviceTime + 20);
    const std::uint32_t percentDrawn = static_cast<std::uint32_t>(m_random() % 100);
    if (percentDrawn < 4) {
        const requests::request_arrived resent {identityOf(work), requests::reply_handle(work),
                                                base::clock_time::ofMillis(item.deadline()), false,
                                                base::clock_time::ofMillis(item.arrivedAt)};
        m_result.outcomes[work].faultInjected = true;
        m_events.after(delay(m_random), [this, work, resent]() {
            ++m_result.outcomes[work].arrivals;
            send(directorOf(work), resent);
        });
    } else if (percentDrawn < 5) {
        m_result.outcomes[work].faultInjected = true;
        m_events.after(delay(m_random), [this, work]() {
            send(directorOf(work), requests::request_cancelled {identityOf(work)});
        });
    }
}

void real_cluster::send(std::size_t to, const requests::request_message &message)
{
    m_events.after(hopMillis, [this, to, message]() { runDirector(to, message); });
}

void real_cluster::runDirector(std::size_t index, const requests::request_message &message)
{
    agent &current = m_agents[index];
    base::step<requests::request_state, requests::request_action> next
        = requests::decide(std::move(current.director), message, clock());
    current.director = std::move(next.state);
    for (const requests::request_action &action : next.actions)
        carryOut(index, action);
}

void real_cluster::carryOut(std::size_t index, const requests::request_action &action)
{
    std::visit(
        base::overloaded {
            [&](const requests::offer_request &offer) {
                runPlacement(index,
                             placement::flow_offered {placement::offer_id(offer.identity.number)});
            },
            [&](const requests::copy_to_backup &copy) {
                m_events.after(2 * hopMillis, [this, index, identity = copy.identity]() {
                    runDirector(index, requests::copy_acknowledged {identity});
                });
            },
            [&](const requests::permit_start &permit) {
                const std::size_t owner = indexOf(permit.owner);
                const std::uint32_t incarnation = m_agents[owner].incarnation;
                const std::size_t work = workOf(permit.identity);
                m_events.after(hopMillis, [this, owner, incarnation, work]() {
                    if (m_agents[owner].incarnation == incarnation)
                        acceptFlow(owner, work);
                });
            },
            [&](const requests::cancel_at_owner &cancel) {
                const std::size_t owner = indexOf(cancel.owner);
                const std::size_t work = workOf(cancel.identity);
                m_events.after(hopMillis, [this, owner, work]() {
                    runAdmission(owner, admission::work_cancelled {admission::work_id(work)});
                });
            },
            [&](const requests::reply_to_caller &answer) {
                handleReply(static_cast<std::size_t>(answer.reply.value()), answer.outcome);
            },
            [](const auto &) {},
        },
        action);
}

void real_cluster::runPlacement(std::size_t index, const placement::placement_message &message)
{
    agent &current = m_agents[index];
    ++m_placementDecisions;
    base::step<placement::placement_state, placement::placement_action> next
        = placement::decide(std::move(current.placementState), message, clock());
    current.placementState = std::move(next.state);
    for (const placement::placement_action &action : next.actions)
        carryOut(index, action);
}

void real_cluster::carryOut(std::size_t index, const placement::placement_action &action)
{
    std::visit(base::overloaded {
                   [&](const placement::accept_flow &accepted) {
                       const std::size_t work = static_cast<std::size_t>(accepted.id.value());
                       if (m_scenario.callerFaults)
                           send(directorOf(work),
                                requests::start_claimed {identityOf(work), nodeOf(index)});
                       else
                           acceptFlow(index, work);
                   },
                   [&](const placement::forward_offer &forwarded) {
                       const std::size_t to = indexOf(forwarded.to);
                       m_events.after(hopMillis, [this, to, offer = forwarded.offer]() {
                           ++m_result.outcomes[offer.id.value()].offers;
                           runPlacement(to, offer);
                       });
                   },
                   [&](const placement::refuse_flow &refused) {
                       refuse(index, static_cast<std::size_t>(refused.id.value()), refused.reason);
                   },
                   [&](const placement::request_work &request) {
                       const std::size_t to = indexOf(request.to);
                       m_events.after(hopMillis, [this, index, to]() {
                           runPlacement(to, placement::work_requested {nodeOf(index)});
                       });
                   },
                   [&](const placement::release_work &released) {
                       releaseWork(index, indexOf(released.to));
                   },
                   [&](const placement::send_report &sent) { sendReport(index, sent); },
               },
               action);
}

void real_cluster::releaseWork(std::size_t index, std::size_t to)
{
    m_agents[index].requester = to;
    runAdmission(index, admission::queued_work_requested {});
}

void real_cluster::sendReport(std::size_t index, const placement::send_report &sent)
{
    constexpr std::int64_t pauseInterval = 8000;
    constexpr std::int64_t pauseLength = 3000;
    const bool paused = m_scenario.reportPauses && index < 3
        && (m_events.now() + static_cast<std::int64_t>(index) * pauseLength) % pauseInterval
            < pauseLength;
    const bool lost = std::uniform_real_distribution<double>()(m_random) < m_scenario.reportLoss;
    if (paused || lost)
        return;
    const std::size_t to = indexOf(sent.to);
    m_events.after(hopMillis, [this, to, message = sent.report]() { runPlacement(to, message); });
}

void real_cluster::acceptFlow(std::size_t index, std::size_t work)
{
    ++m_agents[index].flows;
    const work_item &item = m_result.arrivals[work];
    if (item.isFeed()) {
        scheduleClose(index, work);
        updateLoad(index);
        return;
    }
    runAdmission(index,
                 admission::work_arrived {admission::work_id(work),
                                          base::clock_time::ofMillis(item.deadline())});
}

void real_cluster::runAdmission(std::size_t index, const admission::admission_message &message)
{
    agent &current = m_agents[index];
    base::step<admission::admission_state, admission::admission_action> next
        = admission::decide(std::move(current.slots), message, clock());
    current.slots = std::move(next.state);
    for (const admission::admission_action &action : next.actions)
        carryOut(index, action);
    updateLoad(index);
}

void real_cluster::carryOut(std::size_t index, const admission::admission_action &action)
{
    std::visit(base::overloaded {
                   [&](const admission::dispatch_work &handed) {
                       start(index, static_cast<std::size_t>(handed.id.value()));
                   },
                   [&](const admission::transfer_work &moved) {
                       const std::size_t work = static_cast<std::size_t>(moved.id.value());
                       const std::size_t to = m_agents[index].requester;
                       --m_agents[index].flows;
                       m_events.after(hopMillis, [this, to, work]() { acceptFlow(to, work); });
                   },
                   [&](const admission::refuse_work &refused) {
                       const std::size_t work = static_cast<std::size_t>(refused.id.value());
                       scheduleClose(index, work);
                       refuse(index, work, refused.reason);
                   },
                   [](const auto &) {},
               },
               action);
}

void real_cluster::start(std::size_t index, std::size_t work)
{
    outcome &record = m_result.outcomes[work];
    ++record.runs;
    record.startedAt = m_events.now();
    if (record.lastReplyNotRun && record.replies >= record.arrivals)
        record.wronglyReportedNotRun = true;
    const std::uint32_t incarnation = m_agents[index].incarnation;
    m_events.after(m_result.arrivals[work].serviceTime, [this, index, work, incarnation]() {
        if (m_agents[index].incarnation == incarnation)
            finish(index, work);
    });
}

void real_cluster::finish(std::size_t index, std::size_t work)
{
    if (m_scenario.callerFaults)
        send(directorOf(work),
             requests::owner_answered {identityOf(work), nodeOf(index),
                                       std::make_shared<const std::string>()});
    else
        m_result.outcomes[work].answeredAt = m_events.now();
    scheduleClose(index, work);
    runAdmission(index, admission::work_ended {admission::work_id(work)});
}

void real_cluster::refuse(std::size_t index, std::size_t work, base::error_code reason)
{
    if (m_scenario.callerFaults)
        send(directorOf(work), requests::owner_refused {identityOf(work), nodeOf(index), reason});
    else
        m_result.outcomes[work].refusedAt = m_events.now();
}

void real_cluster::handleReply(std::size_t work, const requests::request_outcome &outcome)
{
    crest::outcome &record = m_result.outcomes[work];
    ++record.replies;
    if (std::holds_alternative<requests::answer_bytes>(outcome))
        record.answeredAt = m_events.now();
    record.lastReplyNotRun = std::holds_alternative<requests::not_run>(outcome);
    if (!record.lastReplyNotRun)
        return;
    record.refusedAt = m_events.now();
    record.wronglyReportedNotRun = record.wronglyReportedNotRun || record.runs > 0;
}

void real_cluster::scheduleClose(std::size_t index, std::size_t work)
{
    const std::uint32_t incarnation = m_agents[index].incarnation;
    m_events.after(m_result.arrivals[work].lingerTime, [this, index, incarnation]() {
        if (m_agents[index].incarnation != incarnation)
            return;
        --m_agents[index].flows;
        updateLoad(index);
    });
}

void real_cluster::updateLoad(std::size_t index)
{
    const agent &current = m_agents[index];
    runPlacement(index,
                 placement::own_load_changed {placement::server_load {
                     admission::countsOf(current.slots, clock()), current.flows}});
}

void real_cluster::tick()
{
    const std::size_t draining = drainingAt(m_scenario, m_events.now());
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        agent &current = m_agents[index];
        if (current.draining != (index == draining)) {
            current.draining = index == draining;
            runAdmission(index, admission::drain_changed {current.draining});
        }
        runAdmission(index, admission::admission_tick {});
        if (m_scenario.callerFaults)
            runDirector(index, requests::requests_tick {});
    }
    if (m_events.now() < m_scenario.duration + 30'000)
        m_events.after(tickInterval, [this]() { tick(); });
}

void real_cluster::sample()
{
    std::vector<double> busy;
    std::vector<double> flows;
    for (const agent &current : m_agents) {
        busy.push_back(static_cast<double>(current.slots.running.size()));
        flows.push_back(current.flows);
    }
    const std::size_t draining = drainingAt(m_scenario, m_events.now());
    m_busy.add(busy, draining);
    m_flows.add(flows, draining);
    if (m_events.now() < m_scenario.duration - sampleInterval)
        m_events.after(sampleInterval, [this]() { sample(); });
}

// The agent restarts together with its server, and the directors are notified after restartMillis.
// Its records as a director are kept: they stand for the copies on its backup, and this model does
// not move them there.
void real_cluster::failAgent(std::size_t index)
{
    agent &current = m_agents[index];
    ++current.incarnation;
    current.flows = 0;
    current.slots = admission::admission_state(m_scenario.limits);
    runAdmission(index, admission::server_restarted {});
    m_events.after(restartMillis, [this, index]() {
        for (std::size_t director = 0; director < m_agents.size(); ++director)
            runDirector(director, requests::owner_terminated {nodeOf(index)});
    });
}

} // namespace lycheeshunt::crest
