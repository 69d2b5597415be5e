// Applies announcements, leaves and committed changes to the leases, and rejects stale or
// conflicting announcements.

#pragma once

#include "lycheeshunt/membership/membership_message.h"
#include "lycheeshunt/membership/membership_state.h"

#include <vector>

namespace lycheeshunt::membership::internal {

void handleAnnouncement(membership_state &state, const member &announced, base::clock_time now,
                        std::vector<membership_action> &actions);

void handleLeave(membership_state &state, const member_left &left, base::clock_time now);

// Starts the lease of a member that is known from the log only, as after a restart or a change of
// leader. A lease that the member itself announced is kept, unless it is of an earlier incarnation.
void startLease(membership_state &state, const member &committed, base::clock_time now);

// Handles a committed removal: ends the lease, unless the member has announced itself recently.
void confirmRemoval(membership_state &state, base::node_id node, base::clock_time now);

// Restarts every lease: no announcements were received while another process was leader.
void restartLeases(membership_state &state, base::clock_time now);

} // namespace lycheeshunt::membership::internal
