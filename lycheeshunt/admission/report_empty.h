#pragma once

namespace lycheeshunt::admission {

// A draining backend server has finished everything it was given.
struct report_empty
{
    bool operator==(const report_empty &) const = default;
};

} // namespace lycheeshunt::admission
