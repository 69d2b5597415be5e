#pragma once

#include "lycheeshunt/requests/backup_copied.h"
#include "lycheeshunt/requests/copy_received.h"
#include "lycheeshunt/requests/owner_answered.h"
#include "lycheeshunt/requests/owner_failed.h"
#include "lycheeshunt/requests/owner_lost.h"
#include "lycheeshunt/requests/owner_refused.h"
#include "lycheeshunt/requests/request_arrived.h"
#include "lycheeshunt/requests/request_cancelled.h"
#include "lycheeshunt/requests/requests_tick.h"
#include "lycheeshunt/requests/role_taken.h"
#include "lycheeshunt/requests/start_claimed.h"
#include <variant>

namespace lycheeshunt::requests {

using request_message = std::variant<request_arrived, request_cancelled, start_claimed,
                                     backup_copied, copy_received, owner_answered, owner_refused,
                                     owner_failed, owner_lost, role_taken, requests_tick>;

} // namespace lycheeshunt::requests
