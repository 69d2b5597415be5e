#include "lycheeshunt/operators/decision.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/operators/json.h"

#include <charconv>

namespace lycheeshunt::operators {

namespace {

using operator_step = base::step<operator_state, operator_action>;

enum http_status : int { ok = 200, badRequest = 400, notFound = 404, conflict = 409, busy = 503 };

const std::string ticketsPath = "/v1/tickets";

http_reply refuse(base::request_id request, const base::error &failure)
{
    http_status status = badRequest;
    if (failure.code == base::error_code::ticketNumberTaken)
        status = conflict;
    else if (failure.code == base::error_code::ticketUnknown
             || failure.code == base::error_code::noSuchResource)
        status = notFound;
    else if (failure.code == base::error_code::tooBusy)
        status = busy;
    return http_reply {request, status, refusalJson(tickets::ticket_refusal {{failure}})};
}

operator_action submit(const http_arrived &arrived)
{
    const base::result<tickets::ticket> ticket = ticketFromJson(arrived.body);
    if (const base::error *failure = base::errorOf(ticket))
        return refuse(arrived.request, *failure);
    return tickets::submit_ticket {arrived.request, base::valueOf(ticket)};
}

operator_action show(const http_arrived &arrived, std::string_view numberText)
{
    std::uint64_t number = 0;
    const char *last = numberText.data() + numberText.size();
    const std::from_chars_result parsed = std::from_chars(numberText.data(), last, number);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        return refuse(arrived.request, {base::error_code::requestMalformed, "ticket number"});
    return tickets::show_ticket {arrived.request, base::ticket_number(number)};
}

operator_action arrive(operator_state &state, const http_arrived &arrived)
{
    if (arrived.method == "POST" && arrived.path == ticketsPath)
        return submit(arrived);
    if (arrived.method == "GET" && arrived.path.rfind(ticketsPath + "/", 0) == 0)
        return show(arrived, std::string_view(arrived.path).substr(ticketsPath.size() + 1));
    if (arrived.method == "GET" && arrived.path == "/v1/status") {
        state.waiting.emplace(arrived.request, std::nullopt);
        return dissemination::force_query {arrived.request, base::generation()};
    }
    return refuse(arrived.request,
                  {base::error_code::noSuchResource, arrived.method + " " + arrived.path});
}

operator_action takeOutcome(operator_state &state, const tickets::ticket_answer &answer)
{
    if (const tickets::ticket_refusal *refusal
        = std::get_if<tickets::ticket_refusal>(&answer.outcome)) {
        const http_reply first = refuse(answer.request, refusal->faults.front());
        return http_reply {answer.request, first.status, refusalJson(*refusal)};
    }
    const tickets::ticket_record &record = std::get<tickets::ticket_record>(answer.outcome);
    state.waiting.emplace(answer.request, record);
    return dissemination::force_query {answer.request, record.at};
}

operator_action takeForce(operator_state &state, const dissemination::force_answer &force)
{
    const auto found = state.waiting.find(force.request);
    const std::string body = found != state.waiting.end() && found->second
        ? recordJson(*found->second, force)
        : statusJson(force);
    state.waiting.erase(force.request);
    return http_reply {force.request, ok, body};
}

} // namespace

operator_step decide(operator_state state, const operator_message &message)
{
    operator_action action = std::visit(
        base::overloaded {
            [&](const http_arrived &arrived) { return arrive(state, arrived); },
            [&](const tickets::ticket_answer &answer) { return takeOutcome(state, answer); },
            [&](const dissemination::force_answer &force) { return takeForce(state, force); },
        },
        message);
    return operator_step {std::move(state), {std::move(action)}};
}

} // namespace lycheeshunt::operators
