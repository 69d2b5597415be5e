#pragma once

#include "lycheeshunt/membership/member.h"
#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

struct announce_self
{
    const streams::connection_id connection;
    const membership::member self;

    bool operator==(const announce_self &) const = default;
};

} // namespace lycheeshunt::dissemination
