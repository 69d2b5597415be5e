#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/replication/storage_id.h"

namespace lycheeshunt::replication {

// A control VM together with the disk that holds its log. Votes and acknowledgements count for
// this pair, never for the name alone.
struct replica_id
{
    const base::node_id node;
    const storage_id storage;

    bool operator==(const replica_id &) const = default;
};

} // namespace lycheeshunt::replication
