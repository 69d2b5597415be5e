#include "lycheeshunt/routing/hedge_budget.h"

#include <algorithm>

namespace lycheeshunt::routing {

namespace {

// An opening adds `extraPercent` hundredths of a copy.
constexpr std::uint32_t creditOfCopy = 100;

} // namespace

void hedge_budget::addOpening()
{
    // Bounds a burst to as many copies as the limit has percent: what 100 openings permit.
    const std::uint32_t maxCredit = m_limit.extraPercent * creditOfCopy;
    m_credit = std::min(maxCredit, m_credit + m_limit.extraPercent);
}

bool hedge_budget::tryTake()
{
    if (m_credit < creditOfCopy)
        return false;
    m_credit -= creditOfCopy;
    return true;
}

} // namespace lycheeshunt::routing
