#include "lycheeshunt/placement/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/placement/load_report.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace lycheeshunt::placement {

namespace {

constexpr std::uint8_t version = 1;

enum flag : std::uint8_t { drainingFlag = 1, acceptingFlag = 2, failingFlag = 4, silentFlag = 8 };

// The last one, the server's time, only when it is known. Builds without it ignore further slot
// fields, but refuse a report with a further field of its own.
using slot_fields = std::vector<std::uint32_t>;
using report_fields = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t,
                                 slot_fields, std::uint32_t, std::uint32_t, std::uint8_t>;

constexpr std::size_t minSlotFields = 4;
// Three bytes; the budget for reports assumes no more.
constexpr std::uint32_t maxServiceMillis = 65'535;

slot_fields slotFieldsOf(const server_load &load)
{
    const admission::slot_counts &slots = load.slots;
    slot_fields fields {slots.allowed, slots.busy, slots.longBusy, slots.queued};
    if (load.serviceMillis > 0)
        fields.push_back(std::min(load.serviceMillis, maxServiceMillis));
    return fields;
}

std::uint8_t flagsOf(const load_report &report)
{
    const server_load &load = report.load;
    return static_cast<std::uint8_t>(
        (load.slots.draining ? drainingFlag : 0) | (load.slots.accepting ? acceptingFlag : 0)
        | (load.failing ? failingFlag : 0) | (report.isRecipientSilent ? silentFlag : 0));
}

} // namespace

std::string encodeReport(const load_report &report)
{
    return base::packFields(report_fields(
        version, report.node.value(), report.incarnation.value(), report.sequence,
        slotFieldsOf(report.load), report.load.flows, report.load.hintedBusy, flagsOf(report)));
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
    if (slots.size() < minSlotFields)
        return base::error {base::error_code::messageMalformed, "slots of a load report"};
    return load_report {base::node_id(node), base::incarnation(incarnation), sequence,
                        server_load {admission::slot_counts {slots[0], slots[1], slots[2], slots[3],
                                                             (flags & drainingFlag) != 0,
                                                             (flags & acceptingFlag) != 0},
                                     flows, hintedSlots, (flags & failingFlag) != 0,
                                     slots.size() > minSlotFields ? slots[minSlotFields] : 0},
                        (flags & silentFlag) != 0};
}

} // namespace lycheeshunt::placement
