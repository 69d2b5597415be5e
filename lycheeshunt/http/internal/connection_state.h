#pragma once

#include "lycheeshunt/http/connection_limits.h"
#include "lycheeshunt/http/internal/connection_id.h"
#include "lycheeshunt/http/internal/connection_record.h"

#include <map>
#include <memory>

namespace lycheeshunt::http::internal {

// The open connections of a listener, at most as many as the limits allow.
struct connection_state
{
    std::shared_ptr<const connection_limits> limits = std::make_shared<const connection_limits>();
    std::map<connection_id, connection_record> connections = {};
};

} // namespace lycheeshunt::http::internal
