#include "real_cluster.h"

#include "lycheeshunt/base/overloaded.h"

#include <string>

namespace lycheeshunt::crest {

namespace {

constexpr std::int64_t sampleEvery = 100;
constexpr std::int64_t tickEvery = 10;
constexpr std::int64_t agentLostAt = 20'000;
constexpr std::int64_t restartTime = 1000;
constexpr std::size_t lostAgent = 3;

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

real_cluster::real_cluster(const scenario &given) : m_given(given), m_random(given.seed + 1)
{
    m_result.arrivals = arrivalsOf(given);
    m_result.outcomes.resize(m_result.arrivals.size());
    std::vector<placement::peer> peers;
    for (std::size_t index = 0; index < given.servers; ++index)
        peers.push_back(placement::peer {nodeOf(index), base::incarnation(1),
                                         "zone-" + std::to_string(index % 4)});
    for (std::size_t index = 0; index < given.servers; ++index)
        m_agents.push_back(agent {admission::admission_state(given.limits),
                                  placement::placement_state(peers[index], given.rules),
                                  requests::request_state(given.seed)});
    for (std::size_t index = 0; index < given.servers; ++index) {
        place(index, placement::peers_changed {peers});
        countLoad(index);
    }
}

run_result real_cluster::run()
{
    schedule(0);
    tick();
    sample();
    if (m_given.callerFaults)
        m_events.after(agentLostAt, [this]() { loseAgent(lostAgent); });
    m_events.runUntil(m_given.duration + 60'000);
    m_result.busy = m_busy.result();
    m_result.flows = m_flows.result();
    return std::move(m_result);
}

void real_cluster::schedule(std::size_t work)
{
    if (work >= m_result.arrivals.size())
        return;
    m_events.after(m_result.arrivals[work].at - m_events.now(), [this, work]() {
        arrive(work);
        schedule(work + 1);
    });
}

void real_cluster::arrive(std::size_t work)
{
    if (!m_given.callerFaults) {
        place(directorOf(work), placement::flow_offered {placement::offer_id(work)});
        return;
    }
    const work_item &item = m_result.arrivals[work];
    const requests::request_arrived request {identityOf(work), requests::reply_handle(work),
                                             base::clock_time::ofMillis(item.deadline()), false,
                                             base::clock_time::ofMillis(item.at)};
    ++m_result.outcomes[work].arrivals;
    send(directorOf(work), request);
    disturb(work);
}

// A few callers resend or cancel, at any time up to twice the usual service.
void real_cluster::disturb(std::size_t work)
{
    const work_item &item = m_result.arrivals[work];
    std::uniform_int_distribution<std::int64_t> delay(0, 2 * item.service + 20);
    const std::uint32_t pick = static_cast<std::uint32_t>(m_random() % 100);
    if (pick < 4) {
        const requests::request_arrived again {identityOf(work), requests::reply_handle(work),
                                               base::clock_time::ofMillis(item.deadline()), false,
                                               base::clock_time::ofMillis(item.at)};
        m_result.outcomes[work].disturbed = true;
        m_events.after(delay(m_random), [this, work, again]() {
            ++m_result.outcomes[work].arrivals;
            send(directorOf(work), again);
        });
    } else if (pick < 5) {
        m_result.outcomes[work].disturbed = true;
        m_events.after(delay(m_random), [this, work]() {
            send(directorOf(work), requests::request_cancelled {identityOf(work)});
        });
    }
}

void real_cluster::send(std::size_t to, const requests::request_message &message)
{
    m_events.after(hopMillis, [this, to, message]() { direct(to, message); });
}

void real_cluster::direct(std::size_t index, const requests::request_message &message)
{
    agent &each = m_agents[index];
    base::step<requests::request_state, requests::request_action> next
        = requests::decide(std::move(each.director), message, clock());
    each.director = std::move(next.state);
    for (const requests::request_action &action : next.actions)
        carryOut(index, action);
}

void real_cluster::carryOut(std::size_t index, const requests::request_action &action)
{
    std::visit(base::overloaded {
                   [&](const requests::offer_request &offer) {
                       place(index,
                             placement::flow_offered {placement::offer_id(offer.identity.number)});
                   },
                   [&](const requests::copy_to_backup &copy) {
                       m_events.after(2 * hopMillis, [this, index, identity = copy.identity]() {
                           direct(index, requests::copy_acknowledged {identity});
                       });
                   },
                   [&](const requests::permit_start &permit) {
                       const std::size_t owner = indexOf(permit.owner);
                       const std::uint32_t incarnation = m_agents[owner].incarnation;
                       const std::size_t work = workOf(permit.identity);
                       m_events.after(hopMillis, [this, owner, incarnation, work]() {
                           if (m_agents[owner].incarnation == incarnation)
                               take(owner, work);
                       });
                   },
                   [&](const requests::cancel_at_owner &cancel) {
                       const std::size_t owner = indexOf(cancel.owner);
                       const std::size_t work = workOf(cancel.identity);
                       m_events.after(hopMillis, [this, owner, work]() {
                           admit(owner, admission::work_cancelled {admission::work_id(work)});
                       });
                   },
                   [&](const requests::reply_to_caller &told) {
                       reply(static_cast<std::size_t>(told.reply.value()), told.outcome);
                   },
                   [](const auto &) {},
               },
               action);
}

void real_cluster::place(std::size_t index, const placement::placement_message &message)
{
    agent &each = m_agents[index];
    ++m_placementDecisions;
    base::step<placement::placement_state, placement::placement_action> next
        = placement::decide(std::move(each.placing), message, clock());
    each.placing = std::move(next.state);
    for (const placement::placement_action &action : next.actions)
        carryOut(index, action);
}

void real_cluster::carryOut(std::size_t index, const placement::placement_action &action)
{
    std::visit(base::overloaded {
                   [&](const placement::accept_flow &taken) {
                       const std::size_t work = static_cast<std::size_t>(taken.id.value());
                       if (m_given.callerFaults)
                           send(directorOf(work),
                                requests::start_claimed {identityOf(work), nodeOf(index)});
                       else
                           take(index, work);
                   },
                   [&](const placement::forward_offer &passed) {
                       const std::size_t to = indexOf(passed.to);
                       m_events.after(hopMillis, [this, to, offer = passed.offer]() {
                           ++m_result.outcomes[offer.id.value()].offers;
                           place(to, offer);
                       });
                   },
                   [&](const placement::refuse_flow &refused) {
                       refuse(index, static_cast<std::size_t>(refused.id.value()), refused.reason);
                   },
                   [&](const placement::request_work &asked) {
                       const std::size_t to = indexOf(asked.to);
                       m_events.after(hopMillis, [this, index, to]() {
                           place(to, placement::work_requested {nodeOf(index)});
                       });
                   },
                   [&](const placement::release_work &given) { give(index, indexOf(given.to)); },
                   [&](const placement::send_report &sent) { report(index, sent); },
               },
               action);
}

void real_cluster::give(std::size_t index, std::size_t to)
{
    m_agents[index].wanting = to;
    admit(index, admission::queued_work_requested {});
}

void real_cluster::report(std::size_t index, const placement::send_report &sent)
{
    constexpr std::int64_t pauseEvery = 8000;
    constexpr std::int64_t pauseLength = 3000;
    const bool paused = m_given.reportPauses && index < 3
        && (m_events.now() + static_cast<std::int64_t>(index) * pauseLength) % pauseEvery
            < pauseLength;
    const bool lost = std::uniform_real_distribution<double>()(m_random) < m_given.reportLoss;
    if (paused || lost)
        return;
    const std::size_t to = indexOf(sent.to);
    m_events.after(hopMillis, [this, to, told = sent.report]() { place(to, told); });
}

void real_cluster::take(std::size_t index, std::size_t work)
{
    ++m_agents[index].flows;
    const work_item &item = m_result.arrivals[work];
    if (item.isFeed()) {
        closeLater(index, work);
        countLoad(index);
        return;
    }
    admit(index,
          admission::work_arrived {admission::work_id(work),
                                   base::clock_time::ofMillis(item.deadline())});
}

void real_cluster::admit(std::size_t index, const admission::admission_message &message)
{
    agent &each = m_agents[index];
    base::step<admission::admission_state, admission::admission_action> next
        = admission::decide(std::move(each.slots), message, clock());
    each.slots = std::move(next.state);
    for (const admission::admission_action &action : next.actions)
        carryOut(index, action);
    countLoad(index);
}

void real_cluster::carryOut(std::size_t index, const admission::admission_action &action)
{
    std::visit(base::overloaded {
                   [&](const admission::dispatch_work &given) {
                       start(index, static_cast<std::size_t>(given.id.value()));
                   },
                   [&](const admission::transfer_work &moved) {
                       const std::size_t work = static_cast<std::size_t>(moved.id.value());
                       const std::size_t to = m_agents[index].wanting;
                       --m_agents[index].flows;
                       m_events.after(hopMillis, [this, to, work]() { take(to, work); });
                   },
                   [&](const admission::refuse_work &refused) {
                       const std::size_t work = static_cast<std::size_t>(refused.id.value());
                       closeLater(index, work);
                       refuse(index, work, refused.reason);
                   },
                   [](const auto &) {},
               },
               action);
}

void real_cluster::start(std::size_t index, std::size_t work)
{
    outcome &known = m_result.outcomes[work];
    ++known.runs;
    known.startedAt = m_events.now();
    if (known.lastToldNotRun && known.replies >= known.arrivals)
        known.falselyNotRun = true;
    const std::uint32_t incarnation = m_agents[index].incarnation;
    m_events.after(m_result.arrivals[work].service, [this, index, work, incarnation]() {
        if (m_agents[index].incarnation == incarnation)
            finish(index, work);
    });
}

void real_cluster::finish(std::size_t index, std::size_t work)
{
    if (m_given.callerFaults)
        send(directorOf(work),
             requests::owner_answered {identityOf(work), nodeOf(index),
                                       std::make_shared<const std::string>()});
    else
        m_result.outcomes[work].answeredAt = m_events.now();
    closeLater(index, work);
    admit(index, admission::work_ended {admission::work_id(work)});
}

void real_cluster::refuse(std::size_t index, std::size_t work, base::error_code reason)
{
    if (m_given.callerFaults)
        send(directorOf(work), requests::owner_refused {identityOf(work), nodeOf(index), reason});
    else
        m_result.outcomes[work].toldNotRunAt = m_events.now();
}

void real_cluster::reply(std::size_t work, const requests::request_outcome &outcome)
{
    crest::outcome &known = m_result.outcomes[work];
    ++known.replies;
    if (std::holds_alternative<requests::answer_bytes>(outcome))
        known.answeredAt = m_events.now();
    known.lastToldNotRun = std::holds_alternative<requests::not_run>(outcome);
    if (!known.lastToldNotRun)
        return;
    known.toldNotRunAt = m_events.now();
    known.falselyNotRun = known.falselyNotRun || known.runs > 0;
}

void real_cluster::closeLater(std::size_t index, std::size_t work)
{
    const std::uint32_t incarnation = m_agents[index].incarnation;
    m_events.after(m_result.arrivals[work].lingers, [this, index, incarnation]() {
        if (m_agents[index].incarnation != incarnation)
            return;
        --m_agents[index].flows;
        countLoad(index);
    });
}

void real_cluster::countLoad(std::size_t index)
{
    const agent &each = m_agents[index];
    place(index,
          placement::own_load_changed {
              placement::server_load {admission::countsOf(each.slots, clock()), each.flows}});
}

void real_cluster::tick()
{
    const std::size_t draining = drainingAt(m_given, m_events.now());
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        agent &each = m_agents[index];
        if (each.draining != (index == draining)) {
            each.draining = index == draining;
            admit(index, admission::drain_changed {each.draining});
        }
        admit(index, admission::admission_tick {});
        if (m_given.callerFaults)
            direct(index, requests::requests_tick {});
    }
    if (m_events.now() < m_given.duration + 30'000)
        m_events.after(tickEvery, [this]() { tick(); });
}

void real_cluster::sample()
{
    std::vector<double> busy;
    std::vector<double> flows;
    for (const agent &each : m_agents) {
        busy.push_back(static_cast<double>(each.slots.running.size()));
        flows.push_back(each.flows);
    }
    const std::size_t draining = drainingAt(m_given, m_events.now());
    m_busy.add(busy, draining);
    m_flows.add(flows, draining);
    if (m_events.now() < m_given.duration - sampleEvery)
        m_events.after(sampleEvery, [this]() { sample(); });
}

// The agent restarts with its server; the directors hear of it after a while. Its own records are
// taken to be with its backup, which this model does not move.
void real_cluster::loseAgent(std::size_t index)
{
    agent &each = m_agents[index];
    ++each.incarnation;
    each.flows = 0;
    each.slots = admission::admission_state(m_given.limits);
    admit(index, admission::server_restarted {});
    m_events.after(restartTime, [this, index]() {
        for (std::size_t director = 0; director < m_agents.size(); ++director)
            direct(director, requests::owner_terminated {nodeOf(index)});
    });
}

std::size_t real_cluster::directorOf(std::size_t work) const
{
    return m_result.arrivals[work].hash % m_agents.size();
}

requests::request_identity real_cluster::identityOf(std::size_t work) const
{
    return requests::request_identity {1, work};
}

} // namespace lycheeshunt::crest
