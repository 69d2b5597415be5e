#include "lycheeshunt/placement/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/placement/load_report.h"

#include <tuple>

namespace lycheeshunt::placement {

namespace {

constexpr std::uint8_t version = 1;

using slot_fields = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t, bool>;
using report_fields = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t,
                                 slot_fields, std::uint32_t, std::uint32_t, bool>;

} // namespace

std::string encodeReport(const load_report &report)
{
    const admission::slot_counts &slots = report.load.slots;
    return base::packFields(report_fields(
        version, report.node.value(), report.life.value(), report.sequence,
        slot_fields(slots.allowed, slots.busy, slots.longBusy, slots.queued, slots.draining),
        report.load.flows, report.load.hintedBusy, report.load.failing));
}

base::result<load_report> decodeReport(std::string_view bytes)
{
    const base::result<report_fields> fields = base::unpackFields<report_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[found, node, life, sequence, slots, flows, hinted, failing]
        = base::valueOf(fields);
    if (found != version)
        return base::error {base::error_code::messageVersion, "load report"};
    const auto &[allowed, busy, longBusy, queued, draining] = slots;
    return load_report {
        base::node_id(node), base::incarnation(life), sequence,
        server_load {admission::slot_counts {allowed, busy, longBusy, queued, draining}, flows,
                     hinted, failing}};
}

} // namespace lycheeshunt::placement
