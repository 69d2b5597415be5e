#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/answer_bytes.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// The owner received the complete answer of its backend server.
struct owner_answered
{
    const request_identity identity;
    const base::node_id owner;
    const answer_bytes answer;

    bool operator==(const owner_answered &) const = default;
};

} // namespace lycheeshunt::requests
