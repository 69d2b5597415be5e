#pragma once

#include "load_samples.h"
#include "outcome.h"
#include "work_item.h"

#include <vector>

namespace lycheeshunt::crest {

struct run_result
{
    std::vector<work_item> arrivals;
    std::vector<outcome> outcomes;
    unevenness busy;
    unevenness flows;
};

} // namespace lycheeshunt::crest
