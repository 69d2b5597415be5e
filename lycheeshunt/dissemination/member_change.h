#pragma once

#include "lycheeshunt/membership/member.h"

#include <optional>

namespace lycheeshunt::dissemination {

// The new state of one member, or nothing if it was removed. `previousService` selects the agents
// that must be notified when the member leaves their service.
struct member_change
{
    const std::optional<membership::member> member;
    const base::service_id previousService;

    bool operator==(const member_change &) const = default;
};

} // namespace lycheeshunt::dissemination
