#pragma once

#include "lycheeshunt/requests/acknowledge_copy.h"
#include "lycheeshunt/requests/cancel_at_owner.h"
#include "lycheeshunt/requests/copy_to_backup.h"
#include "lycheeshunt/requests/deny_start.h"
#include "lycheeshunt/requests/offer_request.h"
#include "lycheeshunt/requests/permit_start.h"
#include "lycheeshunt/requests/query_owner.h"
#include "lycheeshunt/requests/reply_to_caller.h"
#include <variant>

namespace lycheeshunt::requests {

using request_action = std::variant<offer_request, copy_to_backup, acknowledge_copy, permit_start,
                                    deny_start, query_owner, cancel_at_owner, reply_to_caller>;

} // namespace lycheeshunt::requests
