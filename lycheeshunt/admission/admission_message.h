#pragma once

#include "lycheeshunt/admission/admission_tick.h"
#include "lycheeshunt/admission/drain_changed.h"
#include "lycheeshunt/admission/limits_changed.h"
#include "lycheeshunt/admission/queued_work_requested.h"
#include "lycheeshunt/admission/server_restarted.h"
#include "lycheeshunt/admission/work_arrived.h"
#include "lycheeshunt/admission/work_cancelled.h"
#include "lycheeshunt/admission/work_ended.h"
#include <variant>

namespace lycheeshunt::admission {

using admission_message
    = std::variant<work_arrived, work_cancelled, work_ended, queued_work_requested, drain_changed,
                   limits_changed, server_restarted, admission_tick>;

} // namespace lycheeshunt::admission
