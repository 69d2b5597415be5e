#pragma once

namespace lycheeshunt::admission {

// Another agent has a free slot for work that waits here.
struct work_wanted
{
    bool operator==(const work_wanted &) const = default;
};

} // namespace lycheeshunt::admission
