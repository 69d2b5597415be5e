// How many members are quiet at one moment, overall and by availability zone. Many at once speak
// of a network partition rather than of so many deaths.

#pragma once

#include "lycheeshunt/membership/membership_state.h"

#include <string>

namespace lycheeshunt::membership::internal {

class silence_census
{
public:
    // Nobody is quiet.
    silence_census() = default;
    silence_census(const membership_state &state, base::clock_time now);

    // Most of all members are quiet: control itself is probably cut off.
    bool isMostlyQuiet() const;
    // Many members, or most of this availability zone, are quiet.
    bool isMassSilence(const std::string &availabilityZone) const;

private:
    struct counts
    {
        std::size_t quiet = 0;
        std::size_t total = 0;
    };

    counts m_all;
    std::map<std::string, counts> m_zones;
};

} // namespace lycheeshunt::membership::internal
