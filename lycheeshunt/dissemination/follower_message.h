#pragma once

#include "lycheeshunt/dissemination/adopt_view.h"
#include "lycheeshunt/dissemination/announce_self.h"
#include "lycheeshunt/dissemination/control_message_received.h"
#include "lycheeshunt/dissemination/follower_tick.h"
#include "lycheeshunt/dissemination/leave_group.h"
#include "lycheeshunt/dissemination/link_closed.h"
#include "lycheeshunt/dissemination/link_opened.h"
#include "lycheeshunt/dissemination/report_incarnation.h"
#include "lycheeshunt/dissemination/report_mismatch.h"
#include "lycheeshunt/dissemination/self_changed.h"
#include "lycheeshunt/dissemination/send_to_control.h"
#include "lycheeshunt/dissemination/use_servers.h"

#include <variant>

namespace lycheeshunt::dissemination {

using follower_message
    = std::variant<link_opened, link_closed, control_message_received, self_changed, follower_tick>;
using follower_action = std::variant<send_to_control, announce_self, leave_group, adopt_view,
                                     report_mismatch, report_incarnation, use_servers>;

} // namespace lycheeshunt::dissemination
