// Encoded size of a full snapshot: the sum of the sizes of all its pieces.

#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/snapshot.h"

namespace lycheeshunt::measurements {

inline std::size_t snapshotBytes(const dissemination::cluster_view &view,
                                 const dissemination::view_scope &scope)
{
    std::size_t bytes = 0;
    dissemination::snapshot_section section = dissemination::snapshot_section::services;
    std::uint64_t key = 0;
    std::string name;
    while (section != dissemination::snapshot_section::end) {
        const dissemination::snapshot_cursor cursor {section, key, name};
        const dissemination::snapshot_part content = dissemination::partAfter(view, scope, cursor);
        const dissemination::snapshot_piece piece {
            view.at, view.at, dissemination::view_digest(), cursor, content.next, content.part};
        bytes += dissemination::encodeControlMessage(piece).size();
        section = content.next.section;
        key = content.next.key;
        name = content.next.name;
    }
    return bytes;
}

} // namespace lycheeshunt::measurements
