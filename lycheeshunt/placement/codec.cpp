#include "lycheeshunt/placement/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/placement/load_report.h"

#include <tuple>

namespace lycheeshunt::placement {

namespace {

constexpr std::uint8_t version = 1;

enum flag : std::uint8_t { drainingFlag = 1, acceptingFlag = 2, failingFlag = 4 };

using slot_fields = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
using report_fields = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t,
                                 slot_fields, std::uint32_t, std::uint32_t, std::uint8_t>;

std::uint8_t flagsOf(const server_load &load)
{
    return static_cast<std::uint8_t>((load.slots.draining ? drainingFlag : 0)
                                     | (load.slots.accepting ? acceptingFlag : 0)
                                     | (load.failing ? failingFlag : 0));
}

} // namespace

std::string encodeReport(const load_report &report)
{
    const admission::slot_counts &slots = report.load.slots;
    return base::packFields(
        report_fields(version, report.node.value(), report.incarnation.value(), report.sequence,
                      slot_fields(slots.allowed, slots.busy, slots.longBusy, slots.queued),
                      report.load.flows, report.load.hintedBusy, flagsOf(report.load)));
}

base::result<load_report> decodeReport(std::string_view bytes)
{
    const base::result<report_fields> fields = base::unpackFields<report_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[foundVersion, node, incarnation, sequence, slots, flows, hintedSlots, flags]
        = base::valueOf(fields);
    if (foundVersion != version)
        return base::error {base::error_code::messageVersion, "load report"};
    const auto &[allowed, busy, longBusy, queued] = slots;
    return load_report {base::node_id(node), base::incarnation(incarnation), sequence,
                        server_load {admission::slot_counts {allowed, busy, longBusy, queued,
                                                             (flags & drainingFlag) != 0,
                                                             (flags & acceptingFlag) != 0},
                                     flows, hintedSlots, (flags & failingFlag) != 0}};
}

} // namespace lycheeshunt::placement
