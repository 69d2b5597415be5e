#pragma once

#include "lycheeshunt/states/get_state.h"
#include "lycheeshunt/states/leadership_update.h"
#include "lycheeshunt/states/pending_state.h"
#include "lycheeshunt/states/submit_state.h"

#include <map>
#include <memory>
#include <variant>

namespace lycheeshunt::states {

// A request that waits until this VM is known to be current: a read of the state in force, the
// question whether a submitted version is still not above it, or a submission that needs the state
// in force for its routes.
using pending_read = std::variant<get_state, std::uint64_t, submit_state>;

struct states_state
{
    // Null before the first.
    shared_state current;
    // The highest version committed that this build can't decode.
    std::uint64_t undecodableVersion = 0;
    std::map<std::uint64_t, pending_state> pending;
    std::map<base::request_id, pending_read> reads;
    // Whether all entries committed before the present leadership have been applied here, which the
    // first confirmed read shows. Until then `current` may be older than what is in force.
    bool isCaughtUp = false;
    std::uint64_t lastToken = 0;
    std::shared_ptr<const leadership_update> leadership
        = std::make_shared<const leadership_update>();

    std::uint64_t currentVersion() const { return current ? current->version : 0; }
    // Whether `current` is the newest state that the log has committed.
    bool isCurrentNewest() const { return currentVersion() > undecodableVersion; }
};

} // namespace lycheeshunt::states
