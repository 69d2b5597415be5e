#pragma once

#include "lycheeshunt/requests/ask_owner.h"
#include "lycheeshunt/requests/cancel_at_owner.h"
#include "lycheeshunt/requests/confirm_copy.h"
#include "lycheeshunt/requests/copy_to_backup.h"
#include "lycheeshunt/requests/deny_start.h"
#include "lycheeshunt/requests/offer_request.h"
#include "lycheeshunt/requests/permit_start.h"
#include "lycheeshunt/requests/reply_to_caller.h"
#include <variant>

namespace lycheeshunt::requests {

using request_action = std::variant<offer_request, copy_to_backup, confirm_copy, permit_start,
                                    deny_start, ask_owner, cancel_at_owner, reply_to_caller>;

} // namespace lycheeshunt::requests
