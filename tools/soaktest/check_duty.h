// The thread of the checks.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "tools/soaktest/check_state.h"
#include "tools/soaktest/violation.h"

namespace lycheeshunt::soak {

class check_duty
{
public:
    explicit check_duty(std::shared_ptr<const topology> deployment);

    // Blocks while the ring is full: no observation is dropped. Thread-safe.
    void push(const observation &seen);
    // Handles everything that was pushed, and returns all violations.
    std::vector<violation> finish();
    // See check_state. Call it after finish().
    std::uint64_t announcedResets() const { return m_state.announcedResets; }

private:
    check_state m_state;
    std::vector<violation> m_violations;
    base::duty<observed_event> m_duty;
};

} // namespace lycheeshunt::soak
