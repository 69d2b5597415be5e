#pragma once

#include "lycheeshunt/admission/cancel_at_server.h"
#include "lycheeshunt/admission/dispatch_work.h"
#include "lycheeshunt/admission/refuse_work.h"
#include "lycheeshunt/admission/report_drained.h"
#include "lycheeshunt/admission/report_work_lost.h"
#include "lycheeshunt/admission/transfer_work.h"
#include <variant>

namespace lycheeshunt::admission {

using admission_action = std::variant<dispatch_work, refuse_work, transfer_work, cancel_at_server,
                                      report_work_lost, report_drained>;

} // namespace lycheeshunt::admission
