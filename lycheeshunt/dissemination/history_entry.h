#pragma once

#include "lycheeshunt/dissemination/view_change.h"

namespace lycheeshunt::dissemination {

// The change that created one generation.
struct history_entry
{
    const base::generation at;
    const view_change change;

    bool operator==(const history_entry &) const = default;
};

} // namespace lycheeshunt::dissemination
