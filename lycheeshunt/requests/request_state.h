// The requests that one director answers for.

#pragma once

#include "lycheeshunt/requests/request_identity.h"
#include "lycheeshunt/requests/request_record.h"
#include <map>
#include <random>

namespace lycheeshunt::requests {

struct request_state
{
    explicit request_state(std::uint32_t seed) : random(seed) { }

    std::map<request_identity, request_record> records;
    // When to look at a record again; one that no longer fits its record does no harm.
    std::multimap<base::clock_time, request_identity> due;
    // Requests first sent earlier may have been started without a record here.
    base::clock_time recordsSince = {};
    bool hasBackup = true;
    double retryTokens = 0;
    std::minstd_rand random;
};

} // namespace lycheeshunt::requests
