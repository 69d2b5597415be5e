// The requests of one director.

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
    // Times at which records are to be processed; a stale entry, whose record has changed since, is
    // harmless.
    std::multimap<base::clock_time, request_identity> timers;
    // Records are complete from this time on: a request first sent earlier may have been started
    // without a record here.
    base::clock_time recordsCompleteSince = {};
    bool hasBackup = true;
    double retryTokens = 0;
    std::minstd_rand random;
};

} // namespace lycheeshunt::requests
