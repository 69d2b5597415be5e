// The deltas in flight to one node, and when a repeated request shows that they were lost. A node
// repeats its request until the answer arrives, and streams keep messages in order, so a request
// that is received before the answer can have arrived does not show that it was lost.

#pragma once

#include "lycheeshunt/dissemination/subscriber.h"

namespace lycheeshunt::dissemination::internal {

// The subscriber after a delta of so many objects was sent to it.
subscriber withSent(const subscriber &receiver, base::generation from, base::generation to,
                    view_digest digest, std::size_t objects, base::clock_time now);

// Whether an answer to the request was sent before and may not have arrived yet.
bool isAnswerInFlight(const subscriber &receiver, const view_request &request,
                      base::clock_time now);

// The answers to the same request that stay in flight when it is answered again. Until the round
// trip is known these are all, so that the time before the next answer doubles; then none.
std::vector<sent_delta> earlierAnswers(const subscriber &receiver, const view_request &request);

} // namespace lycheeshunt::dissemination::internal
