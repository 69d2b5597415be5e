#pragma once

#include "lycheeshunt/membership/member.h"

#include <optional>

namespace lycheeshunt::dissemination {

// What became of one member. The service before the change tells the agents of that service that
// the member has left them.
struct member_change
{
    const std::optional<membership::member> now;
    const base::service_id serviceBefore;

    bool operator==(const member_change &) const = default;
};

} // namespace lycheeshunt::dissemination
