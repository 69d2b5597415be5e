#pragma once

#include "lycheeshunt/dissemination/control_directory.h"
#include "lycheeshunt/dissemination/snapshot_piece.h"
#include "lycheeshunt/dissemination/view_delta.h"

#include <variant>

namespace lycheeshunt::dissemination {

// Messages from control to a node.
using control_message = std::variant<view_delta, snapshot_piece, control_directory>;

} // namespace lycheeshunt::dissemination
