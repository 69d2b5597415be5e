#pragma once

#include "lycheeshunt/dissemination/acknowledgement.h"
#include "lycheeshunt/dissemination/view_request.h"

#include <variant>

namespace lycheeshunt::dissemination {

// What a node says to control about views.
using node_message = std::variant<view_request, acknowledgement>;

} // namespace lycheeshunt::dissemination
