// What callers, backend servers, operators and the supervisor of the processes see.

#pragma once

#include "tools/soaktest/fault_logged.h"
#include "tools/soaktest/flow_held.h"
#include "tools/soaktest/flow_opening.h"
#include "tools/soaktest/flow_released.h"
#include "tools/soaktest/flow_reset.h"
#include "tools/soaktest/flow_unanswered.h"
#include "tools/soaktest/link_ordered.h"
#include "tools/soaktest/member_missing.h"
#include "tools/soaktest/not_in_force.h"
#include "tools/soaktest/packet_delivered.h"
#include "tools/soaktest/process_exited.h"
#include "tools/soaktest/process_ordered.h"
#include "tools/soaktest/process_stuck.h"
#include "tools/soaktest/request_run.h"
#include "tools/soaktest/ticket_accepted.h"
#include "tools/soaktest/ticket_read.h"
#include "tools/soaktest/ticket_refused.h"
#include "tools/soaktest/zone_in_force.h"
#include "tools/soaktest/zone_withdrawn.h"

#include <variant>

namespace lycheeshunt::soak {

using observation
    = std::variant<flow_opening, packet_delivered, request_run, flow_held, flow_released,
                   flow_reset, flow_unanswered, process_ordered, process_exited, process_stuck,
                   fault_logged, ticket_accepted, ticket_read, ticket_refused, not_in_force,
                   zone_in_force, zone_withdrawn, member_missing, link_ordered>;

} // namespace lycheeshunt::soak
