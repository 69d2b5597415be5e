// Builds deltas to the newest generation. Caches the merged changes since the last generation
// requested, as most nodes have the same one.
//
//     delta_builder builder(state);
//     const view_delta delta = builder.deltaFor(from, scope);

#pragma once

#include "lycheeshunt/dissemination/view_change.h"

#include <optional>

namespace lycheeshunt::dissemination {
struct publisher_state;
struct view_delta;
} // namespace lycheeshunt::dissemination

namespace lycheeshunt::dissemination::internal {

class delta_builder
{
public:
    explicit delta_builder(const publisher_state &state) : m_state(state) { }

    // Precondition: the state's history covers the generation.
    view_delta deltaFor(base::generation from, const view_scope &scope);

private:
    view_change mergedSince(base::generation from) const;

    const publisher_state &m_state;
    base::generation m_from;
    std::optional<view_change> m_merged;
};

} // namespace lycheeshunt::dissemination::internal
