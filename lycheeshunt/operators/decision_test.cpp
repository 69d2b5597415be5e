#include "lycheeshunt/operators/decision.h"
#include "lycheeshunt/operators/token_file.h"

#include <sys/stat.h>

#include <cstdlib>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::operators;

namespace {

const std::string goodTicket = "{\"number\": 1, \"author\": \"test\", \"changes\": "
                               "[{\"service\": {\"name\": \"logbook\", \"addresses\": "
                               "[\"tcp:192.0.2.1:443\"]}}]}";

const std::string goodFlow = "caller=10.0.0.1%3A40001&address=192.0.2.1:443";

http_arrived requestOf(const std::string &method, const std::string &path,
                       const std::string &body = "", const std::string &query = "")
{
    return http_arrived {base::request_id(1), method, path, body, query, "Bearer secret"};
}

struct refused_case
{
    const char *what;
    const http_arrived request;
    const int status;
    const base::error_code code;
};

std::string codeText(base::error_code code)
{
    return "\"code\":" + std::to_string(static_cast<int>(code));
}

} // namespace

TEST_GROUP(operator_decision)
{
    operator_state state {"secret", {}};

    operator_action run(const operator_message &message)
    {
        base::step<operator_state, operator_action> next = decide(std::move(state), message);
        state = std::move(next.state);
        return next.actions.at(0);
    }
};

TEST(operator_decision, eachBadRequestGetsItsCodeAndLeavesNothingWaiting)
{
    const http_arrived wrongToken {base::request_id(1), "POST", "/v1/tickets",
                                   goodTicket,          "",     "Bearer secreu"};
    const http_arrived noToken {base::request_id(1), "POST", "/v1/tickets", goodTicket};
    using base::error_code;
    const refused_case cases[] = {
        {"unknown path", requestOf("GET", "/v1/nothing"), 404, error_code::noSuchResource},
        {"wrong method", requestOf("DELETE", "/v1/tickets/1"), 404, error_code::noSuchResource},
        {"bad JSON", requestOf("POST", "/v1/tickets", "{\"number\":"), 400,
         error_code::ticketMalformed},
        {"no JSON object", requestOf("POST", "/v1/tickets", "[]"), 400,
         error_code::ticketMalformed},
        {"wrong token", wrongToken, 401, error_code::notAuthorized},
        {"no token", noToken, 401, error_code::notAuthorized},
        {"bad number", requestOf("GET", "/v1/tickets/x"), 400, error_code::requestMalformed},
        {"unknown query", requestOf("GET", "/v1/tickets/1", "", "color=1"), 400,
         error_code::requestMalformed},
        {"negative wait", requestOf("GET", "/v1/tickets/1", "", "wait_ms=-1"), 400,
         error_code::requestMalformed},
        {"wait too long", requestOf("GET", "/v1/tickets/1", "", "wait_ms=60001"), 400,
         error_code::requestMalformed},
        {"a flow without an address", requestOf("GET", "/v1/where", "", "caller=10.0.0.1:1"), 400,
         error_code::requestMalformed},
        {"a caller twice", requestOf("GET", "/v1/where", "", goodFlow + "&caller=10.0.0.2:2"), 400,
         error_code::requestMalformed},
        {"other protocol", requestOf("GET", "/v1/where", "", goodFlow + "&protocol=47"), 400,
         error_code::requestMalformed},
        {"bad escape", requestOf("GET", "/v1/where", "", goodFlow + "&protocol=%x"), 400,
         error_code::requestMalformed},
    };
    for (const refused_case &row : cases) {
        const operator_action action = run(row.request);
        const http_reply *reply = std::get_if<http_reply>(&action);
        CHECK_TEXT(reply != nullptr, row.what);
        LONGS_EQUAL_TEXT(row.status, reply->status, row.what);
        CHECK_TEXT(reply->body.find(codeText(row.code)) != std::string::npos, row.what);
        CHECK_TEXT(state.waiting.empty(), row.what);
    }
}

TEST(operator_decision, anAcceptedTicketIsAwaitedForTheRequestedTime)
{
    const operator_action submitted
        = run(requestOf("POST", "/v1/tickets", goodTicket, "wait_ms=2500"));
    const tickets::ticket ticket = std::get<tickets::submit_ticket>(submitted).ticket;
    const tickets::ticket_record record {ticket, base::generation(7), base::clock_time()};
    const operator_action asked = run(tickets::ticket_answer {base::request_id(1), record});
    const operator_action expected = dissemination::in_force_query {
        base::request_id(1), base::generation(7), base::clock_time::ofMillis(2500)};
    CHECK(asked == expected);
    const dissemination::shared_view view = std::make_shared<const dissemination::cluster_view>(
        dissemination::cluster_view {base::generation(7)});
    const operator_action answered = run(dissemination::in_force_answer {
        base::request_id(1), base::generation(7), view, {"entry-1"}, 1});
    const http_reply &reply = std::get<http_reply>(answered);
    LONGS_EQUAL(200, reply.status);
    CHECK(reply.body.find("\"in_force\":false") != std::string::npos);
    CHECK(reply.body.find("\"behind\":[\"entry-1\"]") != std::string::npos);
    CHECK(state.waiting.empty());
}

TEST(operator_decision, aRejectedTicketIsAnsweredWithEveryError)
{
    run(requestOf("POST", "/v1/tickets", goodTicket));
    const tickets::ticket_refusal refusal {
        {{base::error_code::ticketNumberTaken, "one"}, {base::error_code::ticketBadField, "two"}}};
    const operator_action action = run(tickets::ticket_answer {base::request_id(1), refusal});
    const http_reply &reply = std::get<http_reply>(action);
    LONGS_EQUAL(409, reply.status);
    CHECK(reply.body.find(codeText(base::error_code::ticketBadField)) != std::string::npos);
    CHECK(state.waiting.empty());
}

TEST(operator_decision, aTokenFileThatOthersMayReadIsRejected)
{
    char path[] = "/tmp/lycheeshunt-token-XXXXXX";
    const int descriptor = ::mkstemp(path);
    CHECK(descriptor >= 0);
    ::close(descriptor);
    CHECK(!base::isOk(readToken(path)));
    std::ofstream(path) << "secret\n";
    CHECK(readToken(path) == (base::result<std::string>(std::string("secret"))));
    for (const mode_t mode : {0640, 0604, 0660}) {
        ::chmod(path, mode);
        CHECK(base::errorOf(readToken(path))->code == base::error_code::tokenFileUnsafe);
    }
    ::unlink(path);
    CHECK(!base::isOk(readToken(path)));
}

TEST(operator_decision, anEvacuationIsOrderedWithTheTokenAndAnswered)
{
    const evacuations::submit_order ordered {base::request_id(1), {"zone 1", true}};
    CHECK(run(requestOf("POST", "/v1/evacuations/zone%201")) == operator_action(ordered));
    const evacuations::submit_order withdrawn {base::request_id(1), {"zone-1", false}};
    CHECK(run(requestOf("DELETE", "/v1/evacuations/zone-1")) == operator_action(withdrawn));
    const auto statusOf = [this](const operator_message &message) {
        return std::get<http_reply>(run(message)).status;
    };
    const base::request_id request(1);
    LONGS_EQUAL(200, statusOf(evacuations::order_answer {request, evacuations::order_accepted {}}));
    LONGS_EQUAL(503,
                statusOf(evacuations::order_answer {
                    request, evacuations::redirect_to_leader {base::endpoint {1, 2}, "z"}}));
    LONGS_EQUAL(401, statusOf(http_arrived {request, "POST", "/v1/evacuations/z"}));
    LONGS_EQUAL(400, statusOf(requestOf("POST", "/v1/evacuations/")));
    LONGS_EQUAL(404, statusOf(requestOf("GET", "/v1/evacuations/z")));
}

// Guards against a mistyped path that is answered as accepted and evacuates a zone of another name.
TEST(operator_decision, aPathBelowAnEvacuatedZoneIsRefused)
{
    for (const char *path : {"/v1/evacuations/zone-1/", "/v1/evacuations/zone-1/now"}) {
        for (const char *method : {"POST", "DELETE"}) {
            const operator_action action = run(requestOf(method, path));
            CHECK(std::holds_alternative<http_reply>(action));
            LONGS_EQUAL(404, std::get<http_reply>(action).status);
        }
    }
}
