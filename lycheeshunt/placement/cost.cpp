#include "lycheeshunt/placement/cost.h"

#include <algorithm>

namespace lycheeshunt::placement {

namespace {

double allowedSlots(const server_load &load)
{
    return std::max(1U, load.slots.allowed);
}

double busySlots(const server_load &load, double forwardedSinceReport)
{
    return load.slots.busy + load.hintedBusy + load.slots.queued + forwardedSinceReport;
}

} // namespace

double costOf(const server_load &load, double forwardedSinceReport, double slowness)
{
    const double allowed = allowedSlots(load);
    const double busy = busySlots(load, forwardedSinceReport);
    if (!isFull(load, forwardedSinceReport))
        return busy / allowed + (slowness - 1);
    // Slots that long work occupies are not expected to become free soon.
    const double freeableSlots = std::max(0.5, allowed - load.slots.longBusy);
    return slowness * (1 + (busy - allowed + 1) / freeableSlots);
}

bool isFull(const server_load &load, double forwardedSinceReport)
{
    return busySlots(load, forwardedSinceReport) >= allowedSlots(load);
}

bool acceptsFlows(const server_load &load)
{
    return load.slots.accepting && !load.slots.draining && load.slots.allowed > 0;
}

} // namespace lycheeshunt::placement
