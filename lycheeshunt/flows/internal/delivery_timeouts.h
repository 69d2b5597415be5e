// What follows from packets that the backend server neither answers nor returns in time. Used only
// where backend servers return packets.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows::internal {

// Offers flows to other agents whose opening packets the server left unanswered, drops expired
// pending deliveries, and runs placementTick.
void deliveryTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
