#pragma once

#include "lycheeshunt/tickets/request_kind.h"

#include <cstdint>

namespace lycheeshunt::flows {

// The properties of a flow's requests that agents act on. The defaults are those of a route
// that states neither, and of a packet from an entry that sends no class.
struct request_class
{
    const tickets::request_kind kind = tickets::request_kind::nonIdempotent;
    // 0 is the highest priority.
    const std::uint8_t priority = 0;

    bool isUpload() const { return kind == tickets::request_kind::upload; }

    bool operator==(const request_class &) const = default;
};

} // namespace lycheeshunt::flows
