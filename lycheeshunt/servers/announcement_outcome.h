#pragma once

#include "lycheeshunt/servers/confirm_announcement.h"
#include "lycheeshunt/servers/reject_announcement.h"

#include <variant>

namespace lycheeshunt::servers {

// The reply to the sender of an announcement.
using announcement_outcome = std::variant<confirm_announcement, reject_announcement>;

} // namespace lycheeshunt::servers
