#pragma once

#include "lycheeshunt/flows/flow_lookup.h"
#include "lycheeshunt/flows/hint_withdrawn.h"
#include "lycheeshunt/flows/lookup_answer.h"
#include "lycheeshunt/flows/opening_hint.h"
#include "lycheeshunt/flows/owner_hint.h"
#include "lycheeshunt/flows/recovery_page.h"
#include "lycheeshunt/flows/recovery_request.h"
#include "lycheeshunt/flows/registration_ack.h"
#include "lycheeshunt/flows/registration_batch.h"
#include "lycheeshunt/placement/load_report.h"

#include <variant>

namespace lycheeshunt::flows {

// Messages between the agents of a service, apart from forwarded packets.
using peer_message = std::variant<registration_batch, registration_ack, flow_lookup, lookup_answer,
                                  recovery_request, recovery_page, owner_hint,
                                  placement::load_report, opening_hint, hint_withdrawn>;

} // namespace lycheeshunt::flows
