#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/replication/storage_id.h"

namespace lycheeshunt::replication {

// A control VM together with the disk that holds its log. Votes and acknowledgements are counted by
// this pair and never by the name alone, since a VM with a new disk has lost its log.
struct replica_id
{
    const base::node_id node;
    const storage_id storage;

    bool operator==(const replica_id &) const = default;
};

} // namespace lycheeshunt::replication
