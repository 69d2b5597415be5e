#include "lycheeshunt/membership/internal/silence_census.h"

namespace lycheeshunt::membership::internal {

namespace {
// Fewer silent members than this count as single failures, however small the cluster is.
constexpr std::size_t minMassSilent = 3;
// One silent member in four: the size of one availability zone of four.
constexpr std::size_t massDivisor = 4;
} // namespace

silence_census::silence_census(const membership_state &state, base::clock_time now)
{
    for (auto it = state.leases.begin(); it != state.leases.end(); ++it) {
        const bool silent = now - it->second.lastHeard > state.policy->silentAfter;
        counts &zone = m_zones[it->second.member.availabilityZone];
        ++zone.total;
        ++m_all.total;
        zone.silent += silent ? 1 : 0;
        m_all.silent += silent ? 1 : 0;
    }
}

bool silence_census::isMajoritySilent() const
{
    return m_all.silent >= minMassSilent && m_all.silent * 2 > m_all.total;
}

bool silence_census::isMassSilence(const std::string &availabilityZone) const
{
    if (m_all.silent >= minMassSilent && m_all.silent * massDivisor >= m_all.total)
        return true;
    const auto zone = m_zones.find(availabilityZone);
    return zone != m_zones.end() && zone->second.silent >= minMassSilent
        && zone->second.silent * 2 >= zone->second.total;
}

} // namespace lycheeshunt::membership::internal
