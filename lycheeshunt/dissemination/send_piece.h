#pragma once

#include "lycheeshunt/dissemination/snapshot_cut.h"
#include "lycheeshunt/streams/connection_id.h"

#include <cstdint>
#include <vector>

namespace lycheeshunt::dissemination {

// Sends a piece of a snapshot that several nodes share.
struct send_piece
{
    const std::vector<streams::connection_id> connections = {};
    const shared_cut piece;
    const base::generation newest;
    // As in snapshot_piece.
    const std::uint32_t follows = 0;
    // The nodes have sent a view_window, and accept compressed pieces.
    const bool isCompressed = false;

    bool operator==(const send_piece &) const = default;
};

} // namespace lycheeshunt::dissemination
