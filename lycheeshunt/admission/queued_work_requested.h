#pragma once

namespace lycheeshunt::admission {

// Another agent has a free slot and requests work that is queued here.
struct queued_work_requested
{
    bool operator==(const queued_work_requested &) const = default;
};

} // namespace lycheeshunt::admission
