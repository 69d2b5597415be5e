#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/http/internal/connection_phase.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lycheeshunt::http::internal {

// A connection in the view of the decisions.
struct connection_record
{
    const std::uint32_t address = 0;
    const connection_phase phase = connection_phase::silent;
    // The last progress, by which the oldest connection is found.
    const base::clock_time since;
    const std::optional<base::clock_time> deadline = {};
    // Memory that its body needs.
    const std::size_t bodyBytes = 0;

    bool operator==(const connection_record &) const = default;
};

} // namespace lycheeshunt::http::internal
