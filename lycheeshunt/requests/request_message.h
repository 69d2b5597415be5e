#pragma once

#include "lycheeshunt/requests/copy_acknowledged.h"
#include "lycheeshunt/requests/copy_received.h"
#include "lycheeshunt/requests/director_role_assumed.h"
#include "lycheeshunt/requests/owner_answered.h"
#include "lycheeshunt/requests/owner_failed.h"
#include "lycheeshunt/requests/owner_refused.h"
#include "lycheeshunt/requests/owner_terminated.h"
#include "lycheeshunt/requests/request_arrived.h"
#include "lycheeshunt/requests/request_cancelled.h"
#include "lycheeshunt/requests/requests_tick.h"
#include "lycheeshunt/requests/start_claimed.h"
#include <variant>

namespace lycheeshunt::requests {

using request_message
    = std::variant<request_arrived, request_cancelled, start_claimed, copy_acknowledged,
                   copy_received, owner_answered, owner_refused, owner_failed, owner_terminated,
                   director_role_assumed, requests_tick>;

} // namespace lycheeshunt::requests
