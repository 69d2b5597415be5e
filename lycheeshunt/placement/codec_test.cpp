#include "lycheeshunt/placement/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/placement/load_report.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::placement;
using lycheeshunt::admission::slot_counts;
using lycheeshunt::base::error_code;
using lycheeshunt::base::errorOf;
using lycheeshunt::base::incarnation;
using lycheeshunt::base::node_id;
using lycheeshunt::base::valueOf;

TEST_GROUP(placement_codec)
{
    const load_report report {node_id(0xfedcba9876543210), incarnation(1764844238000), 100'000,
                              server_load {slot_counts {7, 6, 2, 14, true, false}, 2000, 1, true}};
};

TEST(placement_codec, reportSurvivesEncodingAndDecoding)
{
    CHECK(valueOf(decodeReport(encodeReport(report))) == report);
    const load_report toSilent {report.node, report.incarnation, report.sequence, report.load,
                                true};
    CHECK(valueOf(decodeReport(encodeReport(toSilent))) == toSilent);
}

TEST(placement_codec, reportFitsTheSizeThatTheBudgetAssumes)
{
    CHECK(encodeReport(report).size() <= 64 - 28);
}

TEST(placement_codec, truncatedReportIsMalformed)
{
    const std::string bytes = encodeReport(report);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        const lycheeshunt::base::result<load_report> decoded
            = decodeReport(std::string_view(bytes).substr(0, length));
        CHECK(errorOf(decoded) != nullptr);
        CHECK(errorOf(decoded)->code == error_code::messageMalformed);
    }
}

TEST(placement_codec, otherVersionIsRejected)
{
    std::string bytes = encodeReport(report);
    bytes[1] = 2;
    const lycheeshunt::base::result<load_report> decoded = decodeReport(bytes);
    CHECK(errorOf(decoded) != nullptr);
    CHECK(errorOf(decoded)->code == error_code::messageVersion);
}

// VMs of two builds run side by side: a report without a time has the same bytes in both, and
// builds without the time read one that has it.
TEST(placement_codec, reportIsReadByBuildsWithoutTheTime)
{
    using early_slots = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
    using early_fields = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t,
                                    early_slots, std::uint32_t, std::uint32_t, std::uint8_t>;
    const early_fields early(1, 0xfedcba9876543210, 1764844238000, 100'000,
                             early_slots(7, 6, 2, 14), 2000, 1, 5);
    CHECK(encodeReport(report) == lycheeshunt::base::packFields(early));
    for (const std::uint32_t millis : {1U, 127U, 65'535U, 70'000U}) {
        const load_report timed {report.node, report.incarnation, report.sequence,
                                 server_load {report.load.slots, 2000, 1, true, millis}};
        const std::string bytes = encodeReport(timed);
        CHECK(valueOf(lycheeshunt::base::unpackFields<early_fields>(bytes)) == early);
        CHECK_EQUAL(std::min(millis, 65'535U), valueOf(decodeReport(bytes)).load.serviceMillis);
        CHECK(bytes.size() <= (millis <= 127 ? 64U : 66U) - 28);
    }
}
