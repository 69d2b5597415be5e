#include "lycheeshunt/ctl/report.h"
#include "lycheeshunt/operators/flow_destination.h"
#include "lycheeshunt/operators/json.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

TEST_GROUP(where_report) {};

// Guards against a client that can't read the answer of control, and against a flow that looks
// served while no agent takes it.
TEST(where_report, theAnswerOfControlIsPrintedWithAndWithoutAnAgent)
{
    const base::endpoint address {0xc0000201, 443};
    const tickets::service_definition service {"logbook", {{address, 6}}, {}, 64};
    const membership::member_role role = membership::member_role::agent;
    const membership::member_phase phase = membership::member_phase::draining;
    const membership::member agent {"logbook-1",          "zone-1",           role, service.id(),
                                    base::incarnation(1), {0x7f000001, 7500}, phase};
    const auto textOf = [&](const dissemination::cluster_view &view) {
        const base::result<operators::flow_destination> where = operators::destinationOf(
            view, routing::routing_table(view), {{0x0a000001, 40001}, address, 6});
        std::ostringstream out;
        const ctl::http_answer answer {200, operators::whereJson(view, base::valueOf(where))};
        LONGS_EQUAL(ctl::done, ctl::reportWhere(answer, ctl::report_form::table, out, out));
        return out.str();
    };
    const std::string served
        = textOf({base::generation(7), {{service.id(), service}}, {{agent.id(), agent}}});
    const std::string shown = "logbook-1 (zone-1, 127.0.0.1:7500, draining)";
    for (const std::string &part :
         {"director " + shown, "restricted " + shown + ": draining; gets no new flows",
          std::string("note: an open flow stays with its owner")})
        CHECK_TEXT(served.find(part) != std::string::npos, part.c_str());
    const std::string unserved = textOf({base::generation(7), {{service.id(), service}}});
    CHECK(unserved.find("no agent: new flows are refused with E302") != std::string::npos);
}
