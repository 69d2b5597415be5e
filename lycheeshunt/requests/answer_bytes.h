#pragma once

#include <memory>
#include <string>

namespace lycheeshunt::requests {

// A whole answer; shared, so that each resend costs no copy.
using answer_bytes = std::shared_ptr<const std::string>;

} // namespace lycheeshunt::requests
