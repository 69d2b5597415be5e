// The pieces of the publisher's snapshot base that have been cut. A piece depends only on the base,
// the scope and its start, so all nodes of a scope share it.
//
//     const shared_cut first = cutAt(state, scope, snapshot_cursor {});

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/snapshot_cut.h"

namespace lycheeshunt::dissemination {
struct publisher_state;
struct view_scope;
} // namespace lycheeshunt::dissemination

namespace lycheeshunt::dissemination::internal {

// Maximum number of cut pieces kept for other nodes: a complete view and as many services as nodes
// of them start together. Further pieces are cut for one node each.
constexpr std::size_t maxCuts = 1024;
// Cut pieces are dropped when none was sent for this time: nodes that start together request their
// views within it.
constexpr base::clock_time cutRetention = base::clock_time::ofSeconds(10);

// Precondition: the state has a snapshot base.
shared_cut cutAt(publisher_state &state, const view_scope &scope, const snapshot_cursor &start);
void dropUnusedCuts(publisher_state &state, base::clock_time now);

} // namespace lycheeshunt::dissemination::internal
