#pragma once

#include "lycheeshunt/evacuations/leadership_update.h"
#include "lycheeshunt/evacuations/pending_order.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lycheeshunt::evacuations {

struct evacuations_state
{
    // The zones that the log's last orders take out of service.
    std::set<std::string> evacuated;
    // Orders that wait until this VM is known to be current.
    std::map<base::request_id, evacuation_order> unconfirmed;
    // In the order in which they were proposed.
    std::list<pending_order> proposed;
    std::uint64_t lastToken = 0;
    std::shared_ptr<const leadership_update> leadership
        = std::make_shared<const leadership_update>();
};

} // namespace lycheeshunt::evacuations
