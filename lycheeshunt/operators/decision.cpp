#include "lycheeshunt/operators/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/evacuations/zone_path.h"
#include "lycheeshunt/operators/flow_destination.h"
#include "lycheeshunt/operators/json.h"
#include "lycheeshunt/operators/where_query.h"

#include <openssl/crypto.h>

#include <charconv>

namespace lycheeshunt::operators {

namespace {

using operator_step = base::step<operator_state, operator_action>;

enum http_status : int {
    ok = 200,
    badRequest = 400,
    unauthorized = 401,
    notFound = 404,
    conflict = 409,
    busy = 503
};

constexpr base::clock_time maxWait = base::clock_time::ofSeconds(60);
const std::string ticketsPath = "/v1/tickets";
const std::string evacuationsPath = "/v1/evacuations/";

http_status statusOf(base::error_code code)
{
    switch (code) {
    case base::error_code::ticketNumberTaken:
        return conflict;
    case base::error_code::ticketUnknown:
    case base::error_code::noSuchResource:
    case base::error_code::noSuchAddress:
        return notFound;
    case base::error_code::notAuthorized:
        return unauthorized;
    case base::error_code::tooBusy:
    case base::error_code::notLeader:
    case base::error_code::quorumLost:
        return busy;
    default:
        return badRequest;
    }
}

http_reply refuse(base::request_id request, const base::error &failure)
{
    return http_reply {request, statusOf(failure.code),
                       refusalJson(tickets::ticket_refusal {{failure}})};
}

bool isNumber(std::string_view text, std::uint64_t &number)
{
    const char *last = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), last, number);
    return parsed.ec == std::errc() && parsed.ptr == last;
}

// The only query parameter of requests other than /v1/where is wait_ms=N.
base::result<base::clock_time> waitOf(const http_arrived &arrived)
{
    if (arrived.query.empty())
        return base::clock_time();
    const std::string prefix = "wait_ms=";
    const std::string_view query = arrived.query;
    std::uint64_t millis = 0;
    const bool isWait
        = query.substr(0, prefix.size()) == prefix && isNumber(query.substr(prefix.size()), millis);
    if (!isWait || millis > static_cast<std::uint64_t>(maxWait.millis()))
        return base::error {base::error_code::requestMalformed,
                            "only wait_ms from 0 to " + std::to_string(maxWait.millis())};
    return base::clock_time::ofMillis(static_cast<std::int64_t>(millis));
}

// Constant-time comparison: its duration does not depend on which byte differs.
bool isAuthorized(const operator_state &state, const http_arrived &arrived)
{
    const std::string wanted = "Bearer " + state.token;
    return state.token.empty()
        || (arrived.authorization.size() == wanted.size()
            && CRYPTO_memcmp(arrived.authorization.data(), wanted.data(), wanted.size()) == 0);
}

operator_action submit(operator_state &state, const http_arrived &arrived, base::clock_time wait)
{
    if (!isAuthorized(state, arrived))
        return refuse(arrived.request, {base::error_code::notAuthorized, ""});
    const base::result<tickets::ticket> ticket = ticketFromJson(arrived.body);
    if (const base::error *failure = base::errorOf(ticket))
        return refuse(arrived.request, *failure);
    state.waiting.emplace(arrived.request, pending_request {request_kind::ticket, wait});
    return tickets::submit_ticket {arrived.request, base::valueOf(ticket)};
}

operator_action getTicket(operator_state &state, const http_arrived &arrived, base::clock_time wait)
{
    std::uint64_t number = 0;
    if (!isNumber(std::string_view(arrived.path).substr(ticketsPath.size() + 1), number))
        return refuse(arrived.request, {base::error_code::requestMalformed, "ticket number"});
    state.waiting.emplace(arrived.request, pending_request {request_kind::ticket, wait});
    return tickets::get_ticket {arrived.request, base::ticket_number(number)};
}

operator_action queryView(operator_state &state, const http_arrived &arrived,
                          const pending_request &pending)
{
    state.waiting.emplace(arrived.request, pending);
    return dissemination::in_force_query {arrived.request, base::generation()};
}

// A slash in the name of a zone is percent-encoded.
bool isEvacuationPath(const std::string &path)
{
    return path.starts_with(evacuationsPath)
        && path.find('/', evacuationsPath.size()) == std::string::npos;
}

operator_action queryWhere(operator_state &state, const http_arrived &arrived)
{
    const base::result<base::flow_key> key = flowKeyFromQuery(arrived.query);
    if (const base::error *failure = base::errorOf(key))
        return refuse(arrived.request, *failure);
    return queryView(state, arrived, {request_kind::where, {}, {}, base::valueOf(key)});
}

operator_action orderEvacuation(const operator_state &state, const http_arrived &arrived)
{
    if (!isAuthorized(state, arrived))
        return refuse(arrived.request, {base::error_code::notAuthorized, ""});
    const base::result<std::string> zone
        = evacuations::zoneFromSegment(arrived.path.substr(evacuationsPath.size()));
    if (const base::error *failure = base::errorOf(zone))
        return refuse(arrived.request, *failure);
    return evacuations::submit_order {arrived.request,
                                      {base::valueOf(zone), arrived.method == "POST"}};
}

operator_action handleRequest(operator_state &state, const http_arrived &arrived)
{
    if (arrived.method == "GET" && arrived.path == "/v1/where")
        return queryWhere(state, arrived);
    const base::result<base::clock_time> wait = waitOf(arrived);
    if (const base::error *failure = base::errorOf(wait))
        return refuse(arrived.request, *failure);
    if (arrived.method == "POST" && arrived.path == ticketsPath)
        return submit(state, arrived, base::valueOf(wait));
    if (arrived.method == "GET" && arrived.path.rfind(ticketsPath + "/", 0) == 0)
        return getTicket(state, arrived, base::valueOf(wait));
    if ((arrived.method == "POST" || arrived.method == "DELETE") && isEvacuationPath(arrived.path))
        return orderEvacuation(state, arrived);
    if (arrived.method == "GET" && arrived.path == "/v1/status")
        return queryView(state, arrived, {request_kind::status});
    if (arrived.method == "GET" && arrived.path == "/v1/servers")
        return queryView(state, arrived, {request_kind::servers});
    return refuse(arrived.request,
                  {base::error_code::noSuchResource, arrived.method + " " + arrived.path});
}

operator_action handleTicketAnswer(operator_state &state, const tickets::ticket_answer &answer)
{
    const auto found = state.waiting.find(answer.request);
    const base::clock_time wait
        = found == state.waiting.end() ? base::clock_time() : found->second.wait;
    state.waiting.erase(answer.request);
    if (const tickets::ticket_refusal *refusal
        = std::get_if<tickets::ticket_refusal>(&answer.outcome))
        return http_reply {answer.request, statusOf(refusal->faults.front().code),
                           refusalJson(*refusal)};
    const tickets::ticket_record &record = std::get<tickets::ticket_record>(answer.outcome);
    state.waiting.emplace(answer.request, pending_request {request_kind::ticket, wait, record});
    return dissemination::in_force_query {answer.request, record.at, wait};
}

std::string bodyFor(const pending_request &pending, const dissemination::in_force_answer &force)
{
    if (pending.record)
        return recordJson(*pending.record, force);
    return pending.kind == request_kind::servers ? serversJson(*force.view) : statusJson(force);
}

http_reply replyWhere(operator_state &state, const base::flow_key &key,
                      const dissemination::in_force_answer &force)
{
    const dissemination::cluster_view &view = *force.view;
    if (state.table->at() != view.at)
        state.table = std::make_shared<const routing::routing_table>(view, *state.table);
    const base::result<flow_destination> where = destinationOf(view, *state.table, key);
    if (const base::error *failure = base::errorOf(where))
        return refuse(force.request, *failure);
    return http_reply {force.request, ok, whereJson(view, base::valueOf(where))};
}

operator_action handleInForceAnswer(operator_state &state,
                                    const dissemination::in_force_answer &force)
{
    const auto found = state.waiting.find(force.request);
    if (found != state.waiting.end() && found->second.flow) {
        const base::flow_key key = *found->second.flow;
        state.waiting.erase(found);
        return replyWhere(state, key, force);
    }
    const std::string body
        = found == state.waiting.end() ? statusJson(force) : bodyFor(found->second, force);
    state.waiting.erase(force.request);
    return http_reply {force.request, ok, body};
}

operator_action handleOrderAnswer(const evacuations::order_answer &answer)
{
    return std::visit(
        base::overloaded {
            [&](const evacuations::order_accepted &) {
                return http_reply {answer.request, ok, "{}"};
            },
            [&](const evacuations::redirect_to_leader &leader) {
                return refuse(
                    answer.request,
                    {base::error_code::notLeader, "the leader's API is " + leader.api.text()});
            },
            [&](const base::error &failure) { return refuse(answer.request, failure); },
        },
        answer.outcome);
}

} // namespace

operator_step decide(operator_state state, const operator_message &message)
{
    std::vector<operator_action> actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        actions.push_back(std::visit(
            base::overloaded {
                [&](const http_arrived &arrived) { return handleRequest(state, arrived); },
                [&](const tickets::ticket_answer &answer) {
                    return handleTicketAnswer(state, answer);
                },
                [&](const dissemination::in_force_answer &force) {
                    return handleInForceAnswer(state, force);
                },
                [](const evacuations::order_answer &answer) { return handleOrderAnswer(answer); },
            },
            message));
    });
    return operator_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::operators
