#pragma once

#include "lycheeshunt/requests/answer_bytes.h"
#include "lycheeshunt/requests/not_run.h"
#include "lycheeshunt/requests/outcome_unknown.h"
#include <variant>

namespace lycheeshunt::requests {

using request_outcome = std::variant<answer_bytes, not_run, outcome_unknown>;

} // namespace lycheeshunt::requests
