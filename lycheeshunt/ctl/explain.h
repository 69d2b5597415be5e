// Gathers what the processes' logs say of one flow, in the order of time, and says what is missing.

#pragma once

#include "lycheeshunt/ctl/exit_status.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace lycheeshunt::ctl {

// The caller is "address:port"; the whole flow "address:port>address:port" works too. Returns
// refused when no line speaks of it.
exit_status explainFlow(const std::string &caller, const std::vector<std::string> &lines,
                        std::ostream &out);

} // namespace lycheeshunt::ctl
