#pragma once

#include "lycheeshunt/replication/leadership.h"

namespace lycheeshunt::replication {

// What this VM knows of the leader has changed. Proposals of a leader that ends are unsettled:
// they may be committed by the next one or be lost.
struct leadership_changed
{
    const replication::leadership leadership;

    bool operator==(const leadership_changed &) const = default;
};

} // namespace lycheeshunt::replication
