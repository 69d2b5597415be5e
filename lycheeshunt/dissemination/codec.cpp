#include "lycheeshunt/dissemination/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/tickets/codec.h"

#include <tuple>

namespace lycheeshunt::dissemination {

namespace {

using view_fields
    = std::tuple<std::uint64_t, std::vector<std::string>, std::string, std::vector<std::string>>;
using acknowledgement_fields = std::tuple<std::uint64_t>;

} // namespace

std::string encodeView(const cluster_view &view)
{
    std::vector<std::string> services;
    for (auto it = view.services.begin(); it != view.services.end(); ++it)
        services.push_back(tickets::encodeService(it->second));
    std::vector<membership::member> members;
    for (auto it = view.members.begin(); it != view.members.end(); ++it)
        members.push_back(it->second);
    const std::vector<std::string> draining(view.draining.begin(), view.draining.end());
    return base::packFields(view_fields(
        view.at.value(), services,
        membership::encodeBatch(membership::membership_batch {std::move(members), {}}), draining));
}

base::result<cluster_view> decodeView(std::string_view bytes)
{
    const base::result<view_fields> fields = base::unpackFields<view_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[at, rawServices, rawMembers, rawDraining] = base::valueOf(fields);
    std::map<base::service_id, tickets::service_definition> services;
    for (const std::string &raw : rawServices) {
        const base::result<tickets::service_definition> service = tickets::decodeService(raw);
        if (const base::error *failure = base::errorOf(service))
            return *failure;
        services.emplace(base::valueOf(service).id(), base::valueOf(service));
    }
    const base::result<membership::membership_batch> batch = membership::decodeBatch(rawMembers);
    if (const base::error *failure = base::errorOf(batch))
        return *failure;
    std::map<base::node_id, membership::member> members;
    for (const membership::member &member : base::valueOf(batch).present)
        members.emplace(member.id(), member);
    return cluster_view {base::generation(at), std::move(services), std::move(members),
                         std::set<std::string>(rawDraining.begin(), rawDraining.end())};
}

std::string encodeAcknowledgement(base::generation at)
{
    return base::packFields(acknowledgement_fields(at.value()));
}

base::result<base::generation> decodeAcknowledgement(std::string_view bytes)
{
    const base::result<acknowledgement_fields> fields
        = base::unpackFields<acknowledgement_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    return base::generation(std::get<0>(base::valueOf(fields)));
}

} // namespace lycheeshunt::dissemination
