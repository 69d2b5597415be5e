// The part of the membership decision that takes members' own words: which announcement counts,
// and what it does to the leases.

#pragma once

#include "lycheeshunt/membership/membership_message.h"
#include "lycheeshunt/membership/membership_state.h"

#include <vector>

namespace lycheeshunt::membership::internal {

void takeAnnouncement(membership_state &state, const member &announced, base::clock_time now,
                      std::vector<membership_action> &actions);

void takeLeave(membership_state &state, const member_left &left, base::clock_time now);

// After a restart or a change of leader the log is the first that is known of a member: its lease
// starts now. A lease that the member itself has announced stays, unless it is of an earlier
// incarnation.
void startLease(membership_state &state, const member &committed, base::clock_time now);

// The log says that the member is gone: its lease ends unless the member has spoken since.
void confirmGone(membership_state &state, base::node_id node, base::clock_time now);

// Every lease starts anew, as nothing was heard while another process led.
void restartLeases(membership_state &state, base::clock_time now);

} // namespace lycheeshunt::membership::internal
