// The digests of every scope of control's newest view, updated incrementally with each change.
//
//     digests.apply(view, change);
//     const view_digest expected = digests.of(scope);

#pragma once

#include "lycheeshunt/dissemination/view_digest.h"
#include "lycheeshunt/dissemination/view_scope.h"

#include <map>

namespace lycheeshunt::dissemination {

struct cluster_view;
struct view_change;

class scope_digests
{
public:
    view_digest of(const view_scope &scope) const;

    // Adds a change to the digests. `view` is the view before the change.
    void apply(const cluster_view &view, const view_change &change);

    bool operator==(const scope_digests &) const = default;

private:
    void add(base::service_id service, std::uint64_t part);

    std::uint64_t m_all = 0;
    // Of drains and evacuated zones, which belong to every scope.
    std::uint64_t m_shared = 0;
    std::map<base::service_id, std::uint64_t> m_services;
};

} // namespace lycheeshunt::dissemination
