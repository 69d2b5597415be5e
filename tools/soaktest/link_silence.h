// Bytes of one or both directions wait until the fault ends, as TCP repeats what a network drops.

#pragma once

namespace lycheeshunt::soak {

struct link_silence
{
    bool toControl = false;
    bool fromControl = false;

    bool operator==(const link_silence &) const = default;
};

} // namespace lycheeshunt::soak
