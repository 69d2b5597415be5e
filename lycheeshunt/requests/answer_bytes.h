#pragma once

#include <memory>
#include <string>

namespace lycheeshunt::requests {

// A complete answer; shared, so that replying to retransmitted requests copies nothing.
using answer_bytes = std::shared_ptr<const std::string>;

} // namespace lycheeshunt::requests
