#include "lycheeshunt/dissemination/internal/delta_builder.h"

#include "lycheeshunt/dissemination/publisher_state.h"
#include "lycheeshunt/dissemination/view_delta.h"

#include <algorithm>

namespace lycheeshunt::dissemination::internal {

view_delta delta_builder::deltaFor(base::generation from, const view_scope &scope)
{
    if (!m_merged || m_from != from) {
        m_from = from;
        m_merged.emplace(mergedSince(from));
    }
    const base::generation newest = m_state.view->at;
    return view_delta {from, newest, newest, m_state.digests.of(scope), m_merged->within(scope)};
}

view_change delta_builder::mergedSince(base::generation from) const
{
    const auto first = std::find_if(m_state.history.begin(), m_state.history.end(),
                                    [from](const history_entry &entry) { return entry.at > from; });
    std::vector<const view_change *> changes;
    for (auto it = first; it != m_state.history.end(); ++it)
        changes.push_back(&it->change);
    return merged(changes);
}

} // namespace lycheeshunt::dissemination::internal
