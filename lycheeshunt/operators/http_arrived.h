#pragma once

#include "lycheeshunt/http/http_call.h"

namespace lycheeshunt::operators {

// An operator's request.
using http_arrived = http::http_call;

} // namespace lycheeshunt::operators
