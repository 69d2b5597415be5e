#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <compare>
#include <string>

namespace lycheeshunt::dissemination {

enum class snapshot_section : std::uint8_t {
    services = 1,
    members = 2,
    draining = 3,
    end = 4,
    routes = 5, // after draining
};

// A place in the fixed order of a view's objects: what comes after this key of this section.
struct snapshot_cursor
{
    const snapshot_section section = snapshot_section::services;
    // Of the last service, member or route before the place; zero at a section's start.
    const std::uint64_t key = 0;
    // The last draining name before the place.
    const std::string name = {};

    bool isEnd() const { return section == snapshot_section::end; }

    bool operator==(const snapshot_cursor &) const = default;
};

} // namespace lycheeshunt::dissemination
