#pragma once

#include "lycheeshunt/http/internal/evict_connection.h"
#include "lycheeshunt/http/internal/expire_connection.h"
#include "lycheeshunt/http/internal/refuse_connection.h"

#include <variant>

namespace lycheeshunt::http::internal {

// Each closes one connection.
using connection_action = std::variant<refuse_connection, evict_connection, expire_connection>;

} // namespace lycheeshunt::http::internal
