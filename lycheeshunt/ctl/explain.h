// Collects the log lines of one flow from several processes, sorted by time, and reports which
// expected events are missing.

#pragma once

#include "lycheeshunt/ctl/exit_status.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace lycheeshunt::ctl {

// The caller is "address:port"; the full flow "address:port>address:port" is accepted too.
// Returns refused when no line is about it.
exit_status explainFlow(const std::string &caller, const std::vector<std::string> &lines,
                        std::ostream &out);

} // namespace lycheeshunt::ctl
