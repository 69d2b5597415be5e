#include "lycheeshunt/tickets/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/base/planted_fault.h"
#include "lycheeshunt/tickets/difference.h"
#include "lycheeshunt/tickets/validation.h"

#include <ctime>

namespace lycheeshunt::tickets {

namespace {

using ticket_step = base::step<ticket_state, ticket_action>;
using action_list = std::vector<ticket_action>;

std::string numberText(base::ticket_number number)
{
    return "ticket " + std::to_string(number.value());
}

// "2026-03-01T09:30:00Z"
std::string timeText(base::clock_time wall)
{
    constexpr std::int64_t millisPerSecond = 1000;
    const std::time_t seconds = wall.millis() / millisPerSecond;
    std::tm parts {};
    ::gmtime_r(&seconds, &parts);
    char text[sizeof "0000-00-00T00:00:00Z"] = {};
    return std::string(text, std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts));
}

base::error numberTaken(const ticket_record &existing, const ticket &other)
{
    return base::error {base::error_code::ticketNumberTaken,
                        numberText(other.number) + " is held by " + existing.ticket.author
                            + " since " + timeText(existing.acceptedAt) + " and differs in "
                            + firstDifference(existing.ticket, other)};
}

base::error numberTaken(const pending_ticket &existing, const ticket &other)
{
    return base::error {base::error_code::ticketNumberTaken,
                        numberText(other.number) + " of " + existing.ticket.author
                            + " is being accepted and differs in "
                            + firstDifference(existing.ticket, other)};
}

void refuse(base::request_id request, const base::error &fault, action_list &actions)
{
    actions.emplace_back(ticket_answer {request, ticket_refusal {{fault}}});
}

// Records never change, so any control VM may answer from them at any time.
bool answerFromRecord(const ticket_state &state, base::request_id request, const ticket &wanted,
                      action_list &actions)
{
    const auto known = state.records.find(wanted.number);
    if (known == state.records.end())
        return false;
    if (known->second.ticket == wanted)
        actions.emplace_back(ticket_answer {request, known->second});
    else
        refuse(request, numberTaken(known->second, wanted), actions);
    return true;
}

// A submitted ticket joins the pending proposal of its number, or is rejected if it differs from
// it.
bool joinPending(ticket_state &state, base::request_id request, const ticket &wanted,
                 action_list &actions)
{
    const auto proposed = state.pending.find(wanted.number);
    if (proposed == state.pending.end())
        return false;
    if (proposed->second.ticket == wanted)
        proposed->second.waiting.push_back(request);
    else
        refuse(request, numberTaken(proposed->second, wanted), actions);
    return true;
}

void propose(ticket_state &state, base::request_id request, const ticket &wanted,
             action_list &actions)
{
    const std::uint64_t token = ++state.lastToken;
    state.pending.emplace(wanted.number, pending_ticket {wanted, token, {request}});
    actions.emplace_back(propose_ticket {wanted, token});
}

void submit(ticket_state &state, const submit_ticket &message, action_list &actions)
{
    const ticket &wanted = message.ticket;
    if (answerFromRecord(state, message.request, wanted, actions)
        || joinPending(state, message.request, wanted, actions))
        return;
    if (!state.notLeaderError.empty()) {
        refuse(message.request, state.notLeaderError.front(), actions);
        return;
    }
    if (faultsOf(wanted, state).empty()) {
        propose(state, message.request, wanted, actions);
        return;
    }
    // The errors may come from a stale state of this VM, so check that it is current before
    // answering.
    state.reads.emplace(message.request, wanted);
    actions.emplace_back(confirm_read {message.request});
}

void getTicket(ticket_state &state, const get_ticket &message, action_list &actions)
{
    state.reads.emplace(message.request, message.number);
    actions.emplace_back(confirm_read {message.request});
}

void answerGet(const ticket_state &state, base::request_id request, base::ticket_number number,
               action_list &actions)
{
    const auto known = state.records.find(number);
    if (known != state.records.end())
        actions.emplace_back(ticket_answer {request, known->second});
    else
        refuse(request, {base::error_code::ticketUnknown, numberText(number)}, actions);
}

void answerSubmit(ticket_state &state, base::request_id request, const ticket &wanted,
                  action_list &actions)
{
    if (answerFromRecord(state, request, wanted, actions)
        || joinPending(state, request, wanted, actions))
        return;
    std::vector<base::error> faults = faultsOf(wanted, state);
    if (faults.empty())
        propose(state, request, wanted, actions);
    else
        actions.emplace_back(ticket_answer {request, ticket_refusal {std::move(faults)}});
}

void handleReadOutcome(ticket_state &state, const read_outcome &message, action_list &actions)
{
    const auto found = state.reads.find(message.request);
    if (found == state.reads.end())
        return;
    const pending_read pending = found->second;
    state.reads.erase(found);
    if (message.failure) {
        refuse(message.request, *message.failure, actions);
        return;
    }
    std::visit(
        base::overloaded {
            [&](const base::ticket_number &number) {
                answerGet(state, message.request, number, actions);
            },
            [&](const ticket &wanted) { answerSubmit(state, message.request, wanted, actions); },
        },
        pending);
}

ticket_outcome outcomeFor(const ticket_state &state, const ticket &wanted,
                          const std::vector<base::error> &faults)
{
    const auto known = state.records.find(wanted.number);
    if (known == state.records.end())
        return ticket_refusal {faults};
    if (known->second.ticket == wanted)
        return known->second;
    return ticket_refusal {{numberTaken(known->second, wanted)}};
}

void answerPending(ticket_state &state, const ticket &committed,
                   const std::vector<base::error> &faults, action_list &actions)
{
    const auto proposed = state.pending.find(committed.number);
    if (proposed == state.pending.end())
        return;
    // A rejected ticket of other content leaves the number free for the pending one.
    const bool isOther = proposed->second.ticket != committed;
    if (isOther && state.records.count(committed.number) == 0)
        return;
    const ticket_outcome outcome = outcomeFor(state, proposed->second.ticket, faults);
    for (const base::request_id &request : proposed->second.waiting)
        actions.emplace_back(ticket_answer {request, outcome});
    state.pending.erase(proposed);
}

void commit(ticket_state &state, const ticket_committed &message, action_list &actions)
{
    const ticket_record &record = message.record;
    std::vector<base::error> faults;
    if (state.records.count(record.ticket.number) == 0) {
        faults = faultsOf(record.ticket, state);
        if (faults.empty()) {
            state.records.emplace(record.ticket.number, record);
            applyTicket(state, record.ticket);
            actions.emplace_back(apply_ticket {record});
        }
    }
    answerPending(state, record.ticket, faults, actions);
#ifdef LYCHEESHUNT_PLANTED_FAULTS
    // Some tickets are accepted and then forgotten.
    constexpr std::uint64_t forgottenOneIn = 5;
    if (base::isFaultPlanted("ticket_forgotten")
        && record.ticket.number.value() % forgottenOneIn == 0)
        state.records.erase(record.ticket.number);
#endif
}

void rejectProposal(ticket_state &state, const proposal_rejected &message, action_list &actions)
{
    for (auto it = state.pending.begin(); it != state.pending.end(); ++it) {
        if (it->second.token != message.token)
            continue;
        for (const base::request_id &request : it->second.waiting)
            refuse(request, message.reason, actions);
        state.pending.erase(it);
        return;
    }
}

void changeLeadership(ticket_state &state, const leadership_update &message, action_list &actions)
{
    state.notLeaderError.clear();
    if (message.notLeaderError)
        state.notLeaderError.push_back(*message.notLeaderError);
    // These proposals were made in a leadership of this VM that has ended; their outcome is
    // unknown.
    for (auto it = state.pending.begin(); it != state.pending.end(); ++it) {
        for (const base::request_id &request : it->second.waiting)
            refuse(request, {base::error_code::ticketOutcomeUnknown, numberText(it->first)},
                   actions);
    }
    state.pending.clear();
}

} // namespace

ticket_step decide(ticket_state state, const ticket_message &message)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(base::overloaded {
                       [&](const submit_ticket &m) { submit(state, m, actions); },
                       [&](const get_ticket &m) { getTicket(state, m, actions); },
                       [&](const ticket_committed &m) { commit(state, m, actions); },
                       [&](const other_committed &m) { actions.emplace_back(m); },
                       [&](const other_read_outcome &m) { actions.emplace_back(m); },
                       [&](const other_caught_up &m) { actions.emplace_back(m); },
                       [&](const proposal_rejected &m) { rejectProposal(state, m, actions); },
                       [&](const read_outcome &m) { handleReadOutcome(state, m, actions); },
                       [&](const leadership_update &m) { changeLeadership(state, m, actions); },
                   },
                   message);
    });
    return ticket_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::tickets
