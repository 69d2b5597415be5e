// Log lines of a control process about membership and committed batches, and the names of outcomes.

#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/evacuations/order_answer.h"
#include "lycheeshunt/states/state_answer.h"

namespace lycheeshunt::membership {
struct membership_batch;
}

namespace lycheeshunt::replication {
struct configuration;
}

namespace lycheeshunt::daemon::internal {

void logMembers(const replication::configuration &members);
void logBatch(base::generation at, const membership::membership_batch &batch);
const char *nameOf(const states::state_outcome &outcome);
const char *nameOf(const evacuations::order_outcome &outcome);

} // namespace lycheeshunt::daemon::internal
