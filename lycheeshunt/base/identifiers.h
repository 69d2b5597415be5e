// The identifiers that the slices share, each a number with a distinct type.

#pragma once

#include "lycheeshunt/base/strong_number.h"

#include <cstdint>
#include <string_view>

namespace lycheeshunt::base {

// A process of the system; derived from its name in the settings.
using node_id = strong_number<struct node_id_tag, std::uint64_t>;

// A service; derived from its name.
using service_id = strong_number<struct service_id_tag, std::uint64_t>;

// One incarnation of a process: greater for each later start of the same node.
using incarnation = strong_number<struct incarnation_tag, std::uint64_t>;

// Position in the sequence of committed changes; never decreases on a node.
using generation = strong_number<struct generation_tag, std::uint64_t>;

// Number that the operator assigned to a change ticket.
using ticket_number = strong_number<struct ticket_number_tag, std::uint64_t>;

// Index into a service's bucket table.
using bucket = strong_number<struct bucket_tag, std::uint32_t>;

// A name maps to the same identifier on every node.
node_id nodeIdOf(std::string_view name);
service_id serviceIdOf(std::string_view name);

} // namespace lycheeshunt::base
