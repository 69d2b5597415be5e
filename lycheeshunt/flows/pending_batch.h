#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/registration_batch.h"

namespace lycheeshunt::flows {

// A registration batch that is not acknowledged yet.
struct pending_batch
{
    const routing::target to;
    const registration_batch batch;
    const base::clock_time retryAt;
    const std::uint32_t attempts = 1;

    bool operator==(const pending_batch &) const = default;
};

} // namespace lycheeshunt::flows
