#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/dissemination/view_change.h"

namespace lycheeshunt::dissemination {

// The change that created one generation.
struct history_entry
{
    const base::generation at;
    const view_change change;
    // The generation that the change was made from.
    const base::generation previous;
    // Combines several log entries: the generations between previous and at are unknown.
    const bool isMerged = false;

    // Whether this change, and those after it, bring a view of the earlier generation up to date.
    bool appliesTo(base::generation from) const
    {
        return from == previous || (!isMerged && from.value() + 1 >= at.value());
    }

    bool operator==(const history_entry &) const = default;
};

} // namespace lycheeshunt::dissemination
