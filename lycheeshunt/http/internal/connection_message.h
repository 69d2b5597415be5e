#pragma once

#include "lycheeshunt/http/internal/body_expected.h"
#include "lycheeshunt/http/internal/body_progressed.h"
#include "lycheeshunt/http/internal/connection_ended.h"
#include "lycheeshunt/http/internal/connection_opened.h"
#include "lycheeshunt/http/internal/descriptors_exhausted.h"
#include "lycheeshunt/http/internal/phase_entered.h"
#include "lycheeshunt/http/internal/time_passed.h"

#include <variant>

namespace lycheeshunt::http::internal {

using connection_message
    = std::variant<connection_opened, phase_entered, body_expected, body_progressed,
                   connection_ended, descriptors_exhausted, time_passed>;

} // namespace lycheeshunt::http::internal
