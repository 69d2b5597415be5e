#pragma once

#include "lycheeshunt/dissemination/acknowledgement.h"
#include "lycheeshunt/dissemination/view_request.h"
#include "lycheeshunt/dissemination/view_window.h"

#include <variant>

namespace lycheeshunt::dissemination {

// Messages from a node to control.
using node_message = std::variant<view_request, acknowledgement, view_window>;

} // namespace lycheeshunt::dissemination
