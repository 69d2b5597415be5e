#include "lycheeshunt/dissemination/internal/in_flight.h"

#include "lycheeshunt/dissemination/decision.h"

#include <algorithm>
#include <iterator>

namespace lycheeshunt::dissemination::internal {

subscriber withSent(const subscriber &receiver, base::generation from, base::generation to,
                    view_digest digest, std::size_t objects, base::clock_time now)
{
    std::vector<sent_delta> inFlight = receiver.inFlight;
    if (inFlight.size() == maxDeltasInFlight)
        std::vector<sent_delta>(inFlight.begin() + 1, inFlight.end()).swap(inFlight);
    const std::int64_t transfer
        = transferTimePerObject.millis() * static_cast<std::int64_t>(objects);
    const base::clock_time repeatAt = now
        + base::clock_time::ofMillis((acknowledgementTimeout.millis() + transfer)
                                     << receiver.inFlight.size());
    // Twice the last round trip, as delays vary.
    const base::clock_time lostAt = receiver.roundTrip
        ? now + base::clock_time::ofMillis(2 * receiver.roundTrip->millis() + transfer)
        : repeatAt;
    inFlight.push_back(sent_delta {from, to, digest, now, lostAt, repeatAt});
    return subscriber {receiver.node,     receiver.incarnation,  receiver.scope,
                       receiver.current,  receiver.acknowledged, std::move(inFlight),
                       receiver.roundTrip};
}

bool isAnswerInFlight(const subscriber &receiver, const view_request &request, base::clock_time now)
{
    // A node that receives a snapshot waits for its next piece.
    if (!receiver.isAt(request) || request.snapshotAt != base::generation())
        return false;
    return std::any_of(
        receiver.inFlight.begin(), receiver.inFlight.end(),
        [&](const sent_delta &sent) { return sent.from == request.current && now < sent.lostAt; });
}

std::vector<sent_delta> earlierAnswers(const subscriber &receiver, const view_request &request)
{
    std::vector<sent_delta> earlier;
    if (!receiver.roundTrip && receiver.isAt(request))
        std::copy_if(receiver.inFlight.begin(), receiver.inFlight.end(),
                     std::back_inserter(earlier),
                     [&](const sent_delta &sent) { return sent.from == request.current; });
    return earlier;
}

} // namespace lycheeshunt::dissemination::internal
