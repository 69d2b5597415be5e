#include "lycheeshunt/metrics/distribution.h"
#include "lycheeshunt/metrics/exposition.h"
#include "lycheeshunt/metrics/metrics_duty.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::metrics;

TEST_GROUP(metrics) {};

TEST(metrics, samplesOfOneMetricShareTheirHelpAndTypeLines)
{
    const std::map<std::string, report> reports {
        {"admission", report {"admission", {sample {"ring_depth", "Items.", gauge_value {2}}}}},
        {"flows",
         report {"flows",
                 {sample {"refusals_total", "Refused.", counter_value {3}, {{"code", "3\"8"}}},
                  sample {"ring_depth", "Items.", gauge_value {1}}}}}};
    STRCMP_EQUAL("# HELP lycheeshunt_refusals_total Refused.\n"
                 "# TYPE lycheeshunt_refusals_total counter\n"
                 "lycheeshunt_refusals_total{duty=\"flows\",code=\"3\\\"8\"} 3\n"
                 "# HELP lycheeshunt_ring_depth Items.\n"
                 "# TYPE lycheeshunt_ring_depth gauge\n"
                 "lycheeshunt_ring_depth{duty=\"admission\"} 2\n"
                 "lycheeshunt_ring_depth{duty=\"flows\"} 1\n",
                 expositionText(reports).c_str());
}

TEST(metrics, histogramCountsAreCumulative)
{
    distribution waits({1, 10});
    for (const double value : {0.5, 2.0, 3.0, 50.0})
        waits.record(value);
    const histogram_value expected {{1, 10}, {1, 2, 1}, 55.5};
    CHECK(waits.value() == expected);
    const std::map<std::string, report> reports {
        {"a", report {"a", {sample {"wait_ms", "Wait.", waits.value()}}}}};
    STRCMP_EQUAL("# HELP lycheeshunt_wait_ms Wait.\n"
                 "# TYPE lycheeshunt_wait_ms histogram\n"
                 "lycheeshunt_wait_ms_bucket{duty=\"a\",le=\"1\"} 1\n"
                 "lycheeshunt_wait_ms_bucket{duty=\"a\",le=\"10\"} 3\n"
                 "lycheeshunt_wait_ms_bucket{duty=\"a\",le=\"+Inf\"} 4\n"
                 "lycheeshunt_wait_ms_sum{duty=\"a\"} 55.5\n"
                 "lycheeshunt_wait_ms_count{duty=\"a\"} 4\n",
                 expositionText(reports).c_str());
}

TEST(metrics, aScrapeReturnsTheLatestReportOfEachDuty)
{
    metrics_duty duty({[]() {
        return report {"collected", {sample {"x", "X.", counter_value {7}}}};
    }});
    duty.inbox().push(report {"pushed", {sample {"x", "X.", counter_value {1}}}});
    duty.inbox().push(report {"pushed", {sample {"x", "X.", counter_value {2}}}});
    const std::shared_ptr<base::ring<std::string>> answer
        = std::make_shared<base::ring<std::string>>(1);
    duty.inbox().push(scrape_request {answer});
    const std::string expected = "# HELP lycheeshunt_x X.\n# TYPE lycheeshunt_x counter\n"
                                 "lycheeshunt_x{duty=\"collected\"} 7\n"
                                 "lycheeshunt_x{duty=\"pushed\"} 2\n";
    STRCMP_EQUAL(expected.c_str(), answer->pop()->c_str());
}
