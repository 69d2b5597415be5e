// What an agent reports of its requests.

#include "lycheeshunt/flows/flow_meter.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;

namespace {

std::vector<metrics::sample> samplesOf(const flow_meter &meter, const std::string &name)
{
    std::vector<metrics::sample> found;
    for (const metrics::sample &sample : meter.samples()) {
        if (sample.name == name)
            found.push_back(sample);
    }
    return found;
}

} // namespace

TEST_GROUP(flow_meter)
{
    flow_meter meter;
};

TEST(flow_meter, waitsAreTakenByPriority)
{
    meter.record(request_timing {request_step::waited, base::clock_time::ofMillis(5), 2});
    meter.record(request_timing {request_step::waited, base::clock_time::ofMillis(6), 1});
    meter.record(request_timing {request_step::waited, base::clock_time::ofMillis(7), 1});
    meter.record(request_timing {request_step::answered, base::clock_time::ofMillis(100)});
    const std::vector<metrics::sample> waits = samplesOf(meter, "request_wait_ms");
    LONGS_EQUAL(2, waits.size());
    CHECK(waits[0].labels == (std::vector<metrics::label> {{"priority", "1"}}));
    CHECK(waits[1].labels == (std::vector<metrics::label> {{"priority", "2"}}));
    DOUBLES_EQUAL(13, std::get<metrics::histogram_value>(waits[0].value).sum, 0.1);
}

TEST(flow_meter, transfersAndDisplacedRequestsAreReported)
{
    meter.setTransfers(3);
    meter.record(flow_event {flow_event_kind::displaced, {}, {}, base::generation(1)});
    CHECK(samplesOf(meter, "requests_in_transfer").front().value
          == metrics::sample_value(metrics::gauge_value {3}));
    CHECK(samplesOf(meter, "requests_displaced_total").front().value
          == metrics::sample_value(metrics::counter_value {1}));
}
