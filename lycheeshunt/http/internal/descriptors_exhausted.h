#pragma once

namespace lycheeshunt::http::internal {

// A connection waits, and the process can't accept it for lack of descriptors or memory.
struct descriptors_exhausted
{
    bool operator==(const descriptors_exhausted &) const = default;
};

} // namespace lycheeshunt::http::internal
