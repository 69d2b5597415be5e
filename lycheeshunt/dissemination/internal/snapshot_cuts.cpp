#include "lycheeshunt/dissemination/internal/snapshot_cuts.h"

#include "lycheeshunt/dissemination/publisher_state.h"
#include "lycheeshunt/dissemination/snapshot.h"

namespace lycheeshunt::dissemination::internal {

// Only the first piece and pieces that follow a cut one are kept, so that arbitrary cursors in
// requests do not use up the space.
shared_cut cutAt(publisher_state &state, const view_scope &scope, const snapshot_cursor &start)
{
    const std::pair<base::service_id, snapshot_cursor> key(scope.service, start);
    const auto found = state.cuts.find(key);
    if (found != state.cuts.end() && found->second) {
        ++state.counts.sharedPieces;
        return found->second;
    }
    const cluster_view &view = *state.snapshotBase->view;
    snapshot_part cut = partAfter(view, scope, start);
    shared_cut piece = std::make_shared<const snapshot_cut>(snapshot_cut {
        view.at, state.snapshotBase->digests.of(scope), start, cut.next, std::move(cut.part)});
    const bool isKnownStart = found != state.cuts.end() || start == snapshot_cursor {};
    if (!isKnownStart || state.cuts.size() >= maxCuts)
        return piece;
    state.cuts[key] = piece;
    // Reserves the next start, without its piece yet.
    if (!piece->next.isEnd())
        state.cuts.emplace(std::make_pair(scope.service, piece->next), nullptr);
    return piece;
}

void dropUnusedCuts(publisher_state &state, base::clock_time now)
{
    if (!state.cuts.empty() && now - state.cutsUsedAt >= cutRetention)
        state.cuts.clear();
}

} // namespace lycheeshunt::dissemination::internal
