// Tests the client against a control process's API server on ephemeral ports.

#include "lycheeshunt/base/free_endpoint_test.h"
#include "lycheeshunt/ctl/control_client.h"
#include "lycheeshunt/ctl/report.h"
#include "lycheeshunt/http/pending_calls.h"
#include "lycheeshunt/operators/api_server.h"
#include "lycheeshunt/operators/operator_duty.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;

std::string bodyOf(bool isInForce)
{
    return std::string("{\"number\":1,\"author\":\"a\",\"generation\":2,\"in_force\":")
        + (isInForce ? "true" : "false")
        + ",\"behind\":[],\"behind_count\":0,\"unreachable\":[\"entry-1\"],\"unreachable_count\":"
          "1}";
}

} // namespace

TEST_GROUP(ctl) {};

TEST(ctl, eachOutcomeHasItsExitStatus)
{
    std::ostringstream out;
    std::ostringstream errors;
    const auto statusFor = [&](const base::result<ctl::http_answer> &answer, bool mustBeInForce) {
        return ctl::reportTicket(answer, ctl::report_form::table, mustBeInForce, out, errors);
    };
    LONGS_EQUAL(0, statusFor(ctl::http_answer {200, bodyOf(true)}, true));
    LONGS_EQUAL(0, statusFor(ctl::http_answer {200, bodyOf(false)}, false));
    LONGS_EQUAL(4, statusFor(ctl::http_answer {200, bodyOf(false)}, true));
    LONGS_EQUAL(1, statusFor(ctl::http_answer {409, "{\"faults\":[{\"text\":\"E602\"}]}"}, true));
    LONGS_EQUAL(1, statusFor(ctl::http_answer {500, "no JSON"}, true));
    LONGS_EQUAL(3, statusFor(base::error {base::error_code::controlUnreachable, ""}, true));
    CHECK(out.str().find("unreachable (1): entry-1") != std::string::npos);
    CHECK(errors.str().find("E602") != std::string::npos);
}

TEST(ctl, theApiRefusesInvalidRequestsByCode)
{
    const std::shared_ptr<http::pending_calls> calls = std::make_shared<http::pending_calls>();
    operators::operator_duty duty("secret", [&](const operators::operator_action &action) {
        if (const operators::http_reply *reply = std::get_if<operators::http_reply>(&action))
            calls->answer(*reply);
    });
    const base::endpoint where = base::freeEndpoint();
    const base::result<std::unique_ptr<operators::api_server>> opened
        = operators::api_server::open(where, calls, duty.inbox());
    CHECK(base::isOk(opened));
    const base::endpoint nobody = base::freeEndpoint();
    const base::clock_time noWait;
    const ctl::control_client stranger({nobody.text(), where.text()}, "");
    const auto codeIn = [](const base::result<ctl::http_answer> &answer) {
        return base::isOk(answer) ? base::valueOf(answer).body : std::string();
    };
    CHECK(codeIn(stranger.post("/v1/tickets", "{}", noWait)).find("902") != std::string::npos);
    CHECK(codeIn(stranger.get("/v1/nothing", noWait)).find("904") != std::string::npos);
    const ctl::control_client client({where.text()}, "secret");
    CHECK(codeIn(client.post("/v1/tickets", "{}", noWait)).find("601") != std::string::npos);
    constexpr std::size_t hugeBytes = 1024 * 1024 + 1;
    const base::result<ctl::http_answer> huge
        = client.post("/v1/tickets", std::string(hugeBytes, ' '), noWait);
    CHECK(codeIn(huge).find("903") != std::string::npos);
    const ctl::control_client lost({nobody.text()}, "");
    CHECK(base::errorOf(lost.get("/v1/status", noWait))->code
          == base::error_code::controlUnreachable);
    duty.stop();
}
