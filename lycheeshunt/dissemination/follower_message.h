#pragma once

#include "lycheeshunt/dissemination/adopt_view.h"
#include "lycheeshunt/dissemination/announce_self.h"
#include "lycheeshunt/dissemination/control_said.h"
#include "lycheeshunt/dissemination/follower_tick.h"
#include "lycheeshunt/dissemination/link_closed.h"
#include "lycheeshunt/dissemination/link_opened.h"
#include "lycheeshunt/dissemination/report_mismatch.h"
#include "lycheeshunt/dissemination/send_to_control.h"

#include <variant>

namespace lycheeshunt::dissemination {

using follower_message = std::variant<link_opened, link_closed, control_said, follower_tick>;
using follower_action = std::variant<send_to_control, announce_self, adopt_view, report_mismatch>;

} // namespace lycheeshunt::dissemination
