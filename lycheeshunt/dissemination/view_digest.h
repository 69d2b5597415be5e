// A digest of a view: the sum of the hashes of its objects, so that an update costs only as much as
// the objects it changes. It detects faults and diverged histories, not forgery.
//
//     const view_digest next = digestAfter(current, view, change);

#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/base/strong_number.h"

#include <cstdint>
#include <string_view>

namespace lycheeshunt::membership {
struct member;
}

namespace lycheeshunt::tickets {
struct address_route;
struct service_definition;
} // namespace lycheeshunt::tickets

namespace lycheeshunt::dissemination {

struct cluster_view;
struct view_change;

using view_digest = base::strong_number<struct view_digest_tag, std::uint64_t>;

// Computes the digest over all objects of the view.
view_digest digestOf(const cluster_view &view);

// Returns the digest after the change is applied to the view.
view_digest digestAfter(view_digest current, const cluster_view &view, const view_change &change);

// The summand of one object in a digest.
std::uint64_t digestPart(const tickets::service_definition &service);
std::uint64_t digestPart(const membership::member &member);
std::uint64_t digestPart(std::string_view drainingName);
std::uint64_t digestPart(const tickets::address_route &route);
std::uint64_t digestPartOfZone(std::string_view evacuatedZone);

} // namespace lycheeshunt::dissemination
