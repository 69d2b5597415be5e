#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::flows {

// A director or backup has stored the complete batch.
struct registration_ack
{
    const base::service_id service;
    const base::node_id from;
    const base::generation at;
    // Incarnation of the owner that sent the batch.
    const base::incarnation incarnation;
    const std::uint32_t sequence = 0;

    bool operator==(const registration_ack &) const = default;
};

} // namespace lycheeshunt::flows
