// The number of hedged copies that may be sent now: a token bucket that each opening fills by the
// permitted share of a copy. It depends on no clock, so the share holds at any rate of openings.
//
//     budget.addOpening();
//     if (budget.tryTake())
//         ...send one copy

#pragma once

#include "lycheeshunt/routing/hedging_limit.h"

namespace lycheeshunt::routing {

class hedge_budget
{
public:
    explicit hedge_budget(const hedging_limit &limit) : m_limit(limit) { }

    void addOpening();
    // Takes a copy from the budget. Returns whether there was one.
    bool tryTake();

private:
    const hedging_limit m_limit;
    // In hundredths of a copy. Starts empty, so that the share also holds from the start on.
    std::uint32_t m_credit = 0;
};

} // namespace lycheeshunt::routing
