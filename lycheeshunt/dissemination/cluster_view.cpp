#include "lycheeshunt/dissemination/cluster_view.h"

#include "lycheeshunt/dissemination/view_change.h"

namespace lycheeshunt::dissemination {

cluster_view cluster_view::withTicket(base::generation next, const tickets::ticket &ticket) const
{
    return changeOf(ticket).appliedTo(*this, next);
}

cluster_view cluster_view::withBatch(base::generation next,
                                     const membership::membership_batch &batch) const
{
    return changeOf(*this, batch).appliedTo(*this, next);
}

} // namespace lycheeshunt::dissemination
