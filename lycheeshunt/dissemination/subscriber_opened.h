#pragma once

#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// The stream of a node was opened.
struct subscriber_opened
{
    const streams::connection_id connection;

    bool operator==(const subscriber_opened &) const = default;
};

} // namespace lycheeshunt::dissemination
