// Prints answers of control, as tables for people or as JSON for programs.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/ctl/exit_status.h"
#include "lycheeshunt/ctl/http_answer.h"

#include <ostream>
#include <string>

namespace lycheeshunt::ctl {

enum class report_form : unsigned char { table, json };

// A ticket: notInForce when it was to be waited for and some member has not got it.
exit_status reportTicket(const base::result<http_answer> &answer, report_form form,
                         bool mustBeInForce, std::ostream &out, std::ostream &errors);

// Rows of the list named `list` in the answer.
exit_status reportMembers(const base::result<http_answer> &answer, report_form form,
                          const std::string &list, std::ostream &out, std::ostream &errors);

} // namespace lycheeshunt::ctl
