// Counts the silent members, in total and by availability zone. Many silent members at once suggest
// a network partition rather than many process failures.

#pragma once

#include "lycheeshunt/membership/membership_state.h"

#include <string>

namespace lycheeshunt::membership::internal {

class silence_census
{
public:
    // A census without silent members.
    silence_census() = default;
    silence_census(const membership_state &state, base::clock_time now);

    // More than half of all members are silent: control itself is probably disconnected.
    bool isMajoritySilent() const;
    // A quarter of all members, or half of this availability zone, are silent.
    bool isMassSilence(const std::string &availabilityZone) const;

private:
    struct counts
    {
        std::size_t silent = 0;
        std::size_t total = 0;
    };

    counts m_all;
    std::map<std::string, counts> m_zones;
};

} // namespace lycheeshunt::membership::internal
