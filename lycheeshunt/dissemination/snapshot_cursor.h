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
    evacuated = 6, // after routes
};

// A position in the fixed order of a view's objects: after this key of this section.
struct snapshot_cursor
{
    const snapshot_section section = snapshot_section::services;
    // Key of the last service, member or route before the position; zero at the start of a section.
    const std::uint64_t key = 0;
    // The last draining name or evacuated zone before the position.
    const std::string name = {};

    bool isEnd() const { return section == snapshot_section::end; }

    bool operator==(const snapshot_cursor &) const = default;
    std::strong_ordering operator<=>(const snapshot_cursor &) const = default;
};

} // namespace lycheeshunt::dissemination
