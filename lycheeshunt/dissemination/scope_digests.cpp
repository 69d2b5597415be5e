#include "lycheeshunt/dissemination/scope_digests.h"

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/view_change.h"

namespace lycheeshunt::dissemination {

view_digest scope_digests::of(const view_scope &scope) const
{
    if (scope.isComplete())
        return view_digest(m_all);
    const auto found = m_services.find(scope.service);
    return view_digest(m_shared + (found == m_services.end() ? 0 : found->second));
}

void scope_digests::apply(const cluster_view &view, const view_change &change)
{
    m_all = digestAfter(view_digest(m_all), view, change).value();
    const view_change shared {{}, {}, change.draining, {}, change.evacuations};
    m_shared = digestAfter(view_digest(m_shared), view, shared).value();
    for (auto it = change.services.begin(); it != change.services.end(); ++it) {
        const auto old = view.services.find(it->first);
        if (old != view.services.end())
            add(it->first, 0 - digestPart(old->second));
        if (it->second)
            add(it->first, digestPart(*it->second));
    }
    for (auto it = change.members.begin(); it != change.members.end(); ++it) {
        const auto old = view.members.find(it->first);
        if (old != view.members.end())
            add(old->second.service, 0 - digestPart(old->second));
        if (it->second.member)
            add(it->second.member->service, digestPart(*it->second.member));
    }
}

void scope_digests::add(base::service_id service, std::uint64_t part)
{
    const std::uint64_t sum = m_services[service] + part;
    if (sum == 0)
        m_services.erase(service);
    else
        m_services[service] = sum;
}

} // namespace lycheeshunt::dissemination
