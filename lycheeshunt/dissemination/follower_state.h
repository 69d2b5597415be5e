#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/snapshot_assembly.h"
#include "lycheeshunt/dissemination/view_scope.h"
#include "lycheeshunt/streams/connection_id.h"

#include <optional>

namespace lycheeshunt::dissemination {

// What one node holds and what it waits for.
struct follower_state
{
    std::shared_ptr<const membership::member> self;
    std::optional<streams::connection_id> connection;
    // Null until a whole view has come.
    shared_view held;
    view_digest digest;
    // The view held is not control's: a snapshot must replace it.
    bool needsRepair = false;
    std::optional<snapshot_assembly> assembly;
    // Control's generation when the node first heard from it: no work before it is reached.
    base::generation required;
    bool isReady = false;
    bool awaitsAnswer = false;
    base::clock_time askedAt;
    base::clock_time announcedAt;
    // Whether the node says that it is a member.
    bool isAnnounced = true;
    // It was a member in this incarnation and is none any more.
    bool hasLeft = false;

    base::generation heldAt() const { return held ? held->at : base::generation(); }
    view_scope scope() const;

    bool operator==(const follower_state &) const = default;
};

follower_state followerOf(const membership::member &self);

} // namespace lycheeshunt::dissemination
