#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::replication {

// Someone wants to read what is current.
struct read_request
{
    const base::request_id request;

    bool operator==(const read_request &) const = default;
};

} // namespace lycheeshunt::replication
