#include "lycheeshunt/membership/internal/lease_evaluation.h"

#include <algorithm>

namespace lycheeshunt::membership::internal {

namespace {

bool isSuspect(const lease &current, const member *committed, const silence_census &census,
               const lease_policy &policy, base::clock_time now)
{
    const base::clock_time silence = now - current.lastHeard;
    if (silence > policy.suspectAfter) {
        const bool already = committed != nullptr && committed->phase == member_phase::suspected;
        return already || !census.isMajoritySilent() || silence > policy.massSuspectAfter;
    }
    // Hysteresis: a flapping member stays suspected until it has been stable for some time.
    return current.flaps >= policy.flapLimit && now - current.stableSince < policy.flapHoldDown;
}

std::uint8_t shareAt(const lease &current, const lease_policy &policy, base::clock_time now)
{
    const std::int64_t grown
        = 1 + (now - current.rampSince).millis() / policy.rampInterval.millis();
    return static_cast<std::uint8_t>(std::clamp<std::int64_t>(grown, 1, fullShare));
}

} // namespace

std::optional<member> evaluateLease(const lease &current, const member *committed,
                                    const silence_census &census, const lease_policy &policy,
                                    base::clock_time now)
{
    const base::clock_time span = census.isMassSilence(current.member.availabilityZone)
        ? policy.massEvictAfter
        : policy.evictAfter;
    if (now - current.lastHeard > span)
        return std::nullopt;
    const member grown = current.member.withShare(shareAt(current, policy, now));
    if (current.member.phase == member_phase::draining)
        return grown;
    return grown.withPhase(isSuspect(current, committed, census, policy, now)
                               ? member_phase::suspected
                               : member_phase::serving);
}

} // namespace lycheeshunt::membership::internal
