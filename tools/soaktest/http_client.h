// One HTTP request on a connection of its own. Unlike the product's client it can lose a response.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/endpoint.h"
#include "tools/soaktest/http_answer.h"
#include "tools/soaktest/http_request.h"

#include <optional>

namespace lycheeshunt::soak {

// Nothing if no complete response arrives in time.
std::optional<http_answer> call(const base::endpoint &server, const http_request &request,
                                base::clock_time timeout);

} // namespace lycheeshunt::soak
