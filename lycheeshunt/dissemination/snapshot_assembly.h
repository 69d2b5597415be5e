#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/snapshot_piece.h"

#include <vector>

namespace lycheeshunt::dissemination {

// The pieces of a snapshot that have been received so far.
struct snapshot_assembly
{
    base::generation at;
    view_digest digest;
    std::vector<view_change> parts = {};
    snapshot_section nextSection = snapshot_section::services;
    std::uint64_t nextKey = 0;
    std::string nextName = {};

    snapshot_cursor next() const { return snapshot_cursor {nextSection, nextKey, nextName}; }
    void add(const snapshot_piece &piece);
    cluster_view assembled() const;

    bool operator==(const snapshot_assembly &) const = default;
};

} // namespace lycheeshunt::dissemination
