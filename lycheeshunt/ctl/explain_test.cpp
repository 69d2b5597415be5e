#include "lycheeshunt/ctl/explain.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace lycheeshunt;

TEST_GROUP(explain)
{
    std::ostringstream out;
    const std::string steered = "time=2026-01-01 00:00:01 process=entry-1 level=info part=routing "
                                "event=steered flow=192.0.2.7:4000>198.51.100.1:443 by=director";
    const std::string opened = "time=2026-01-01 00:00:02 process=a-1 level=info part=flows "
                               "event=opened flow=192.0.2.7:4000>198.51.100.1:443 busy=1";
    const std::string other = "time=2026-01-01 00:00:02 process=a-1 level=info part=flows "
                              "event=opened flow=192.0.2.7:40001>198.51.100.1:443 busy=1";
};

TEST(explain, linesOfAFlowAreSortedByTime)
{
    CHECK(ctl::explainFlow("192.0.2.7:4000", {"  9.1 a-1 " + opened, other, steered}, out)
          == ctl::done);
    STRCMP_EQUAL((steered + "\n" + opened + "\n").c_str(), out.str().c_str());
}

TEST(explain, missingEventsAreReported)
{
    CHECK(ctl::explainFlow("192.0.2.7:4000", {steered, other + " omitted=4"}, out) == ctl::done);
    CHECK(out.str().find("missing: no agent opened") != std::string::npos);
    CHECK(out.str().find("incomplete: 1 lines") != std::string::npos);
    CHECK(ctl::explainFlow("192.0.2.9:1", {steered, opened}, out) == ctl::refused);
}
