#pragma once

namespace lycheeshunt::admission {

// Reports that a draining backend server has completed all its work.
struct report_drained
{
    bool operator==(const report_drained &) const = default;
};

} // namespace lycheeshunt::admission
