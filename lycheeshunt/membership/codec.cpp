#include "lycheeshunt/membership/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/membership/membership_batch.h"

#include <tuple>

namespace lycheeshunt::membership {

namespace {

constexpr std::size_t maxNameBytes = 255;

using member_fields
    = std::tuple<std::string, std::string, std::uint8_t, std::uint64_t, std::uint64_t,
                 std::uint32_t, std::uint16_t, std::uint8_t, std::uint8_t, std::uint8_t>;
using leave_fields = std::tuple<std::uint64_t, std::uint64_t>;
using batch_fields = std::tuple<std::vector<member_fields>, std::vector<std::uint64_t>>;

base::error malformed(const char *what)
{
    return base::error {base::error_code::messageMalformed, what};
}

member_fields fieldsOf(const member &member)
{
    return member_fields(member.name, member.availabilityZone,
                         static_cast<std::uint8_t>(member.role), member.service.value(),
                         member.incarnation.value(), member.packets.address, member.packets.port,
                         static_cast<std::uint8_t>(member.phase),
                         static_cast<std::uint8_t>(member.health), member.share);
}

base::result<member> memberOf(const member_fields &fields)
{
    const auto &[name, zone, role, service, incarnation, address, port, phase, health, share]
        = fields;
    const bool roleKnown = role == static_cast<std::uint8_t>(member_role::entry)
        || role == static_cast<std::uint8_t>(member_role::agent);
    const bool phaseKnown = phase >= static_cast<std::uint8_t>(member_phase::serving)
        && phase <= static_cast<std::uint8_t>(member_phase::draining);
    const bool healthKnown = health == static_cast<std::uint8_t>(member_health::good)
        || health == static_cast<std::uint8_t>(member_health::bad);
    if (!roleKnown || !phaseKnown || !healthKnown || share < 1 || share > fullShare)
        return malformed("role, phase, health or share of a member");
    if (name.empty() || name.size() > maxNameBytes || zone.size() > maxNameBytes)
        return malformed("name or availability zone of a member");
    if (address == 0 || port == 0)
        return malformed("address of a member");
    return member {name,
                   zone,
                   static_cast<member_role>(role),
                   base::service_id(service),
                   base::incarnation(incarnation),
                   base::endpoint {address, port},
                   static_cast<member_phase>(phase),
                   static_cast<member_health>(health),
                   share};
}

} // namespace

std::string encodeMember(const member &member)
{
    return base::packFields(fieldsOf(member));
}

base::result<member> decodeMember(std::string_view bytes)
{
    const base::result<member_fields> fields = base::unpackFields<member_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    return memberOf(base::valueOf(fields));
}

std::string encodeLeave(const member_left &left)
{
    return base::packFields(leave_fields(left.node.value(), left.incarnation.value()));
}

base::result<member_frame> decodeFrame(std::string_view bytes)
{
    const base::result<leave_fields> leave = base::unpackFields<leave_fields>(bytes);
    if (const leave_fields *left = std::get_if<leave_fields>(&leave))
        return member_frame(
            member_left {base::node_id(std::get<0>(*left)), base::incarnation(std::get<1>(*left))});
    const base::result<member> announced = decodeMember(bytes);
    if (const base::error *failure = base::errorOf(announced))
        return *failure;
    return member_frame(member_announced {base::valueOf(announced)});
}

std::string encodeBatch(const membership_batch &batch)
{
    std::vector<member_fields> updated;
    for (const member &member : batch.updated)
        updated.push_back(fieldsOf(member));
    std::vector<std::uint64_t> removed;
    for (const base::node_id &id : batch.removed)
        removed.push_back(id.value());
    return base::packFields(batch_fields(updated, removed));
}

base::result<membership_batch> decodeBatch(std::string_view bytes)
{
    const base::result<batch_fields> fields = base::unpackFields<batch_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[rawUpdated, rawRemoved] = base::valueOf(fields);
    std::vector<member> updated;
    for (const member_fields &raw : rawUpdated) {
        const base::result<member> decoded = memberOf(raw);
        if (const base::error *failure = base::errorOf(decoded))
            return *failure;
        updated.push_back(base::valueOf(decoded));
    }
    std::vector<base::node_id> removed;
    for (const std::uint64_t raw : rawRemoved)
        removed.emplace_back(raw);
    return membership_batch {std::move(updated), std::move(removed)};
}

} // namespace lycheeshunt::membership
