#pragma once

#include "lycheeshunt/replication/leadership.h"

namespace lycheeshunt::replication {

// Notice: the term or the known leader has changed. When leadership ends, the outcome of pending
// proposals is unknown: a later leader may commit them, or they may be lost.
struct leadership_changed
{
    const replication::leadership leadership;

    bool operator==(const leadership_changed &) const = default;
};

} // namespace lycheeshunt::replication
