#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/snapshot_assembly.h"
#include "lycheeshunt/dissemination/view_scope.h"
#include "lycheeshunt/streams/connection_id.h"

#include <optional>

namespace lycheeshunt::dissemination {

// The view of one node, and its outstanding request.
struct follower_state
{
    std::shared_ptr<const membership::member> self;
    std::optional<streams::connection_id> connection;
    // Null until a complete view has been received.
    shared_view view;
    view_digest digest;
    // The view differs from control's and must be replaced by a snapshot.
    bool needsRepair = false;
    std::optional<snapshot_assembly> assembly;
    // Control's generation at the first message from it. The node takes no work before it gets
    // there.
    base::generation required;
    bool isReady = false;
    bool awaitsReply = false;
    base::clock_time requestedAt;
    // Whether view_window has been sent on the present connection.
    bool hasSentWindow = false;
    base::clock_time announcedAt;
    // Whether the node announces itself as a member.
    bool isAnnounced = true;
    // This incarnation was a member and has left.
    bool hasLeft = false;

    base::generation viewGeneration() const { return view ? view->at : base::generation(); }
    view_scope scope() const;

    bool operator==(const follower_state &) const = default;
};

follower_state makeFollowerState(const membership::member &self, bool isAnnounced = true);

} // namespace lycheeshunt::dissemination
