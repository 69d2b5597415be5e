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
    std::vector<const view_change *> changes;
    for (const view_change &part : parts)
        changes.push_back(&part);
    return merged(changes).appliedTo(cluster_view {}, at);
}

} // namespace lycheeshunt::dissemination
