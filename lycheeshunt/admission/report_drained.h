#pragma once

namespace lycheeshunt::admission {

// A draining backend server has finished everything it was given.
struct report_drained
{
    bool operator==(const report_drained &) const = default;
};

} // namespace lycheeshunt::admission
