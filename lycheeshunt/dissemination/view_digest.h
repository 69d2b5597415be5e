// A digest of what a view holds: the sum of a hash of each object, so that a change costs as much
// as what it touches. It finds faults and other histories; it is no defence against forgery.
//
//     const view_digest next = digestAfter(held, view, change);

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

// Over all objects of the view.
view_digest digestOf(const cluster_view &view);

// What the digest becomes when the change is applied to the view.
view_digest digestAfter(view_digest held, const cluster_view &view, const view_change &change);

// The part that one object adds to a digest.
std::uint64_t digestPart(const tickets::service_definition &service);
std::uint64_t digestPart(const membership::member &member);
std::uint64_t digestPart(std::string_view drainingName);
std::uint64_t digestPart(const tickets::address_route &route);

} // namespace lycheeshunt::dissemination
