#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/history_entry.h"
#include "lycheeshunt/dissemination/pending_query.h"
#include "lycheeshunt/dissemination/publisher_counts.h"
#include "lycheeshunt/dissemination/scope_digests.h"
#include "lycheeshunt/dissemination/snapshot_base.h"
#include "lycheeshunt/dissemination/snapshot_cut.h"
#include "lycheeshunt/dissemination/subscriber.h"
#include "lycheeshunt/dissemination/view_request.h"
#include "lycheeshunt/streams/connection_id.h"

#include <list>
#include <map>
#include <memory>
#include <vector>

namespace lycheeshunt::dissemination {

// The newest view, the history of changes, and the generation that each node has.
struct publisher_state
{
    shared_view view = std::make_shared<const cluster_view>(cluster_view {});
    scope_digests digests;
    std::list<history_entry> history;
    std::size_t historyObjects = 0;
    std::shared_ptr<const snapshot_base> snapshotBase;
    // Pieces of the base that have been cut, by service of the scope and start.
    std::map<std::pair<base::service_id, snapshot_cursor>, shared_cut> cuts;
    // When a piece was last sent.
    base::clock_time cutsUsedAt;
    std::map<streams::connection_id, subscriber> subscribers;
    // Nodes that accept several pieces for one request, and how many.
    std::map<streams::connection_id, std::uint32_t> windows;
    // The latest requests of nodes that can't be answered yet.
    std::map<streams::connection_id, view_request> unanswered;
    // Term of this VM's leadership, and whether the view may lack entries of earlier terms.
    std::uint64_t term = 0;
    bool isCatchingUp = false;
    std::vector<pending_query> pendingQueries;
    // Version of the desired state in the view; 0 before the first.
    std::uint64_t stateVersion = 0;
    publisher_counts counts;

    // Whether the history has all changes after this generation.
    bool historyCovers(base::generation from) const;
    // Number of nodes that have not acknowledged the newest generation.
    std::size_t nodesBehind() const;

    bool operator==(const publisher_state &) const = default;
};

} // namespace lycheeshunt::dissemination
