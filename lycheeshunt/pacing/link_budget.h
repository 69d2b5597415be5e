// How many bytes a link may take now, by its rate: a token bucket. A link that gets more at once
// than it can queue drops the rest.
//
//     if (budget.isOpen(now))
//         budget.charge(bytes, now);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/pacing/link_rate.h"

#include <cstddef>

namespace lycheeshunt::pacing {

class link_budget
{
public:
    explicit link_budget(const link_rate &rate);

    bool isLimited() const { return m_bytesPerMilli > 0; }
    // Whether the next datagram may be sent.
    bool isOpen(base::clock_time now);
    // Takes a datagram of this size into account, also while the budget is not open.
    void charge(std::size_t bytes, base::clock_time now);
    // The earliest time at which the budget is open.
    base::clock_time openAt(base::clock_time now);

private:
    void refill(base::clock_time now);

    double m_bytesPerMilli;
    double m_maxCredit;
    double m_credit;
    base::clock_time m_refilledAt;
};

} // namespace lycheeshunt::pacing
