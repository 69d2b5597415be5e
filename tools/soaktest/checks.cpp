#include "tools/soaktest/checks.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "tools/soaktest/topology.h"

#include <csignal>

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

class checker
{
public:
    checker(check_state &state, clock_time now, std::vector<violation> &found)
        : m_state(state), m_now(now), m_found(found)
    {
    }

    void see(const flow_opening &seen) { m_state.flows[seen.flow].openingAt = m_now; }

    void see(const packet_delivered &seen)
    {
        if (seen.opens)
            noteOpening(seen);
        const std::string &wanted = m_state.deployment->serviceOfAddress.at(seen.flow.service);
        const backend_place &place = m_state.deployment->backends.at(seen.server);
        if (place.service != wanted)
            report("wrong_service", seen.flow.text() + " of " + wanted + " reached " + seen.server);
    }

    void see(const request_run &seen)
    {
        flow_record &flow = m_state.flows[seen.flow];
        const std::string text
            = seen.flow.text() + " request " + std::to_string(seen.request) + " at " + seen.server;
        if (!flow.requestsRun.insert(seen.request).second)
            report("at_most_once", text + " ran before");
        if (flow.reportedNotRun)
            report("not_run", text + " ran although the flow was refused");
    }

    void see(const flow_held &seen)
    {
        flow_record &flow = m_state.flows[seen.flow];
        flow.heldBy.insert(seen.server);
        // An agent that got SIGTERM may still open flows until it ends.
        flow.isCarrierLost = flow.isCarrierLost || m_state.ending.count(seen.server) > 0;
    }
    void see(const flow_released &seen) { m_state.flows[seen.flow].heldBy.clear(); }

    // docs/design/hard-load.md: the system never resets an open flow while its server holds it. The
    // stand-in servers never end and send no reset of their own on an open flow. The exception is
    // in docs/OPERATING.md: an agent that stops also stops carrying the flows of its own server.
    void see(const flow_reset &seen)
    {
        flow_record &flow = m_state.flows[seen.flow];
        if (!flow.heldBy.empty() && flow.isCarrierLost)
            ++m_state.announcedResets;
        else if (!flow.heldBy.empty())
            report(resetCheck(flow),
                   seen.flow.text() + " reset at " + seen.receiver + " while "
                       + *flow.heldBy.begin() + " holds it, opened at "
                       + std::to_string(flow.openedAt.size()) + " servers" + cause());
        if (seen.reportsNotRun && !flow.requestsRun.empty())
            report("not_run", seen.flow.text() + " refused although a request had run");
        flow.reportedNotRun = flow.reportedNotRun || seen.reportsNotRun;
        flow.heldBy.clear();
    }

    void see(const flow_unanswered &seen)
    {
        report(flowCheck("unanswered"), seen.flow.text() + " gets no answer" + cause());
    }

    void see(const process_ordered &seen)
    {
        const process_change change = seen.order.change;
        if (change == process_change::kill || change == process_change::pause)
            m_state.lastUnplanned
                = (change == process_change::kill ? "kill of " : "pause of ") + seen.order.process;
        if (change == process_change::start)
            m_state.ending.erase(seen.order.process);
        if (change != process_change::kill && change != process_change::stop)
            return;
        m_state.ending.insert(seen.order.process);
        for (auto it = m_state.flows.begin(); it != m_state.flows.end(); ++it)
            it->second.isCarrierLost
                = it->second.isCarrierLost || it->second.heldBy.count(seen.order.process) > 0;
    }

    void see(const link_ordered &seen)
    {
        if (!std::holds_alternative<link_clear>(seen.order.fault))
            m_state.lastUnplanned = "fault of the streams of " + seen.order.control;
    }

    // docs/OPERATING.md: a process ends with 0 after a stop.
    void see(const process_exited &seen)
    {
        const bool isKilled = seen.signal == SIGKILL;
        const bool endedInOrder = seen.signal == 0 && seen.status == 0;
        if (!seen.wasOrdered || !(isKilled || endedInOrder))
            report("process_ended",
                   seen.process + " ended with status " + std::to_string(seen.status) + ", signal "
                       + std::to_string(seen.signal)
                       + (seen.wasOrdered ? " after a stop" : " by itself"));
    }

    void see(const process_stuck &seen)
    {
        report("process_stuck", seen.process + " did not end after SIGTERM");
    }

    void see(const fault_logged &seen) { report("fault_logged", seen.process + ": " + seen.line); }

    void see(const ticket_accepted &seen)
    {
        const auto known = m_state.accepted.find(seen.number);
        if (known != m_state.accepted.end()) {
            compare(std::get<ticket_accepted>(known->second.what), seen.number, seen.author,
                    seen.generation);
            return;
        }
        for (auto it = m_state.accepted.begin(); it != m_state.accepted.end(); ++it) {
            const ticket_accepted &earlier = std::get<ticket_accepted>(it->second.what);
            if (it->second.at < seen.sentAt && earlier.generation >= seen.generation)
                report("desired_state_decreased",
                       textOf(seen.number, seen.author, seen.generation) + " was sent after "
                           + textOf(earlier.number, earlier.author, earlier.generation)
                           + " was accepted");
        }
        m_state.accepted.emplace(seen.number, observed_event {m_now, seen});
    }

    void see(const ticket_read &seen)
    {
        const auto known = m_state.accepted.find(seen.number);
        if (known == m_state.accepted.end())
            return;
        const ticket_accepted &accepted = std::get<ticket_accepted>(known->second.what);
        if (!seen.author.empty())
            compare(accepted, seen.number, seen.author, seen.generation);
        else if (known->second.at < seen.askedAt)
            report("ticket_lost",
                   textOf(accepted.number, accepted.author, accepted.generation)
                       + " was accepted and is unknown now");
    }

    // docs/PROTOCOL.md: the accepted ticket is the answer to its submission; it may be repeated.
    void see(const ticket_refused &seen)
    {
        if (!seen.isContested)
            report("ticket_refused",
                   "ticket " + std::to_string(seen.number) + " of " + seen.author + ": "
                       + seen.answer);
    }

    void see(const not_in_force &seen)
    {
        report("not_in_force",
               "ticket " + std::to_string(seen.number) + " at " + seen.behind + cause());
    }

    void see(const zone_in_force &seen) { m_state.evacuated.insert_or_assign(seen.zone, m_now); }
    void see(const zone_withdrawn &seen) { m_state.evacuated.erase(seen.zone); }

    void see(const member_missing &seen) { report("member_missing", seen.status + cause()); }

private:
    // docs/design/hard-load.md: no opening packet reaches an evacuated zone from 5,000 ms after the
    // answer on. Here the time counts from when control reported that every VM has the order, so
    // that it does not depend on the speed of the machine. Copies of earlier openings may arrive.
    void noteOpening(const packet_delivered &seen)
    {
        constexpr clock_time allowance = clock_time::ofMillis(5000);
        flow_record &flow = m_state.flows[seen.flow];
        flow.openedAt.insert(seen.server);
        const auto zone = m_state.evacuated.find(m_state.deployment->backends.at(seen.server).zone);
        if (zone != m_state.evacuated.end() && flow.openingAt > zone->second + allowance)
            report("evacuated_zone",
                   seen.flow.text() + " opened at " + seen.server + " in " + zone->first + cause());
    }

    void compare(const ticket_accepted &accepted, std::uint64_t number, const std::string &author,
                 std::uint64_t generation)
    {
        if (accepted.author != author || accepted.generation != generation)
            report("ticket_changed",
                   textOf(accepted.number, accepted.author, accepted.generation) + " is now "
                       + textOf(number, author, generation));
    }

    static std::string textOf(std::uint64_t number, const std::string &author,
                              std::uint64_t generation)
    {
        return "ticket " + std::to_string(number) + " of " + author + ", generation "
            + std::to_string(generation);
    }

    // A flow that two servers opened has a name of its own: docs/DESIGN.md, "Known limits", says
    // that two agents that cannot reach each other for 400 ms may both open one.
    std::string resetCheck(const flow_record &flow) const
    {
        const bool isLimit = flow.openedAt.size() > 1 && !m_state.lastUnplanned.empty();
        return isLimit ? "doubly_opened_reset" : flowCheck("reset");
    }

    std::string flowCheck(const std::string &outcome) const
    {
        return (m_state.lastUnplanned.empty() ? "planned_work_" : "open_flow_") + outcome;
    }

    std::string cause() const
    {
        return m_state.lastUnplanned.empty() ? ", after planned work only"
                                             : ", last unplanned fault: " + m_state.lastUnplanned;
    }

    void report(std::string check, std::string details)
    {
        m_found.push_back({m_now, std::move(check), std::move(details)});
    }

    check_state &m_state;
    const clock_time m_now;
    std::vector<violation> &m_found;
};

} // namespace

check_step decide(check_state state, const observed_event &event)
{
    std::vector<violation> found;
    const std::optional<base::error> fault = base::faultOf([&]() {
        checker check(state, event.at, found);
        std::visit([&](const auto &seen) { check.see(seen); }, event.what);
    });
    return check_step {std::move(state), std::move(found), fault};
}

} // namespace lycheeshunt::soak
