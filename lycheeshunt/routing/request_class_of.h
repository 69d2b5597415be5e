// The class that an entry writes into the header of a flow's packets.

#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/flows/request_class.h"

namespace lycheeshunt::routing {

class routing_table;

// The default class, which is not sent, if the route states nothing that an agent acts on: agents
// treat requests of any kind but upload alike.
flows::request_class requestClassOf(const routing_table &table, const base::flow_key &key);

} // namespace lycheeshunt::routing
