#include "lycheeshunt/membership/internal/lease_judgement.h"

#include <algorithm>

namespace lycheeshunt::membership::internal {

namespace {

bool isSuspect(const lease &held, const member *committed, const silence_census &census,
               const lease_policy &policy, base::clock_time now)
{
    const base::clock_time silence = now - held.lastHeard;
    if (silence > policy.suspectAfter) {
        const bool already = committed != nullptr && committed->phase == member_phase::suspected;
        return already || !census.isMostlyQuiet() || silence > policy.massSuspectAfter;
    }
    // Hysteresis: a flapping member must be steady before it is trusted again.
    return held.lapses >= policy.flapLimit && now - held.steadySince < policy.flapHold;
}

std::uint8_t shareAt(const lease &held, const lease_policy &policy, base::clock_time now)
{
    const std::int64_t grown = 1 + (now - held.rampSince).millis() / policy.rampStep.millis();
    return static_cast<std::uint8_t>(std::clamp<std::int64_t>(grown, 1, fullShare));
}

} // namespace

std::optional<member> judgeLease(const lease &held, const member *committed,
                                 const silence_census &census, const lease_policy &policy,
                                 base::clock_time now)
{
    const base::clock_time span = census.isMassSilence(held.member.availabilityZone)
        ? policy.massEvictAfter
        : policy.evictAfter;
    if (now - held.lastHeard > span)
        return std::nullopt;
    const member grown = held.member.withShare(shareAt(held, policy, now));
    if (held.member.phase == member_phase::draining)
        return grown;
    return grown.withPhase(isSuspect(held, committed, census, policy, now) ? member_phase::suspected
                                                                           : member_phase::serving);
}

} // namespace lycheeshunt::membership::internal
