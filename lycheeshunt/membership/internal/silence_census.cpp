#include "lycheeshunt/membership/internal/silence_census.h"

namespace lycheeshunt::membership::internal {

namespace {
// Fewer quiet members than this are single failures, however small the system.
constexpr std::size_t leastForMass = 3;
// A quarter of all members: an availability zone of four.
constexpr std::size_t massFraction = 4;
} // namespace

silence_census::silence_census(const membership_state &state, base::clock_time now)
{
    for (auto it = state.leases.begin(); it != state.leases.end(); ++it) {
        const bool quiet = now - it->second.lastHeard > state.policy->quietAfter;
        counts &zone = m_zones[it->second.member.availabilityZone];
        ++zone.total;
        ++m_all.total;
        zone.quiet += quiet ? 1 : 0;
        m_all.quiet += quiet ? 1 : 0;
    }
}

bool silence_census::isMostlyQuiet() const
{
    return m_all.quiet >= leastForMass && m_all.quiet * 2 > m_all.total;
}

bool silence_census::isMassSilence(const std::string &availabilityZone) const
{
    if (m_all.quiet >= leastForMass && m_all.quiet * massFraction >= m_all.total)
        return true;
    const auto zone = m_zones.find(availabilityZone);
    return zone != m_zones.end() && zone->second.quiet >= leastForMass
        && zone->second.quiet * 2 >= zone->second.total;
}

} // namespace lycheeshunt::membership::internal
