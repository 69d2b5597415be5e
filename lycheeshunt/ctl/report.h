// Prints replies of the control API as tables or as JSON.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/ctl/exit_status.h"
#include "lycheeshunt/ctl/http_answer.h"

#include <ostream>
#include <string>

namespace lycheeshunt::ctl {

enum class report_form : unsigned char { table, json };

// Prints a ticket; returns notInForce when it must be in force and some member has not applied it.
exit_status reportTicket(const base::result<http_answer> &answer, report_form form,
                         bool mustBeInForce, std::ostream &out, std::ostream &errors);

// Prints the rows of the list named `list` in the reply.
exit_status reportMembers(const base::result<http_answer> &answer, report_form form,
                          const std::string &list, std::ostream &out, std::ostream &errors);

// Prints where a flow would go and why.
exit_status reportWhere(const base::result<http_answer> &answer, report_form form,
                        std::ostream &out, std::ostream &errors);

} // namespace lycheeshunt::ctl
