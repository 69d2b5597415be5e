#include "lycheeshunt/dissemination/snapshot_assembly.h"

namespace lycheeshunt::dissemination {

void snapshot_assembly::add(const snapshot_piece &piece)
{
    parts.push_back(piece.part);
    nextSection = piece.next.section;
    nextKey = piece.next.key;
    nextName = piece.next.name;
}

cluster_view snapshot_assembly::assembled() const
{
    std::map<base::service_id, tickets::service_definition> services;
    std::map<base::node_id, membership::member> members;
    std::set<std::string> draining;
    for (const view_change &part : parts) {
        for (auto it = part.services.begin(); it != part.services.end(); ++it) {
            if (it->second)
                services.emplace(it->first, *it->second);
        }
        for (auto it = part.members.begin(); it != part.members.end(); ++it) {
            if (it->second.now)
                members.emplace(it->first, *it->second.now);
        }
        for (auto it = part.draining.begin(); it != part.draining.end(); ++it)
            draining.insert(it->first);
    }
    return cluster_view {at, std::move(services), std::move(members), std::move(draining)};
}

} // namespace lycheeshunt::dissemination
