#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"

namespace lycheeshunt::streams::internal {

// A TCP connection that is not established yet. Owns its socket.
struct connect_attempt
{
    base::file_descriptor socket;
    const base::endpoint server;
    const base::clock_time startedAt;
};

} // namespace lycheeshunt::streams::internal
