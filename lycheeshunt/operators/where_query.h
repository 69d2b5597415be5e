// Parses the query of GET /v1/where.

#pragma once

#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::operators {

// The text is caller=IP:PORT&address=IP:PORT[&protocol=N]. Returns requestMalformed for any other.
base::result<base::flow_key> flowKeyFromQuery(const std::string &query);

} // namespace lycheeshunt::operators
