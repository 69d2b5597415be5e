#pragma once

#include "lycheeshunt/base/strong_number.h"
#include <cstdint>

namespace lycheeshunt::requests {

// Identifies where a front end sends the outcome of one arrival of a request.
using reply_handle = base::strong_number<struct reply_handle_tag, std::uint64_t>;

} // namespace lycheeshunt::requests
