#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <string>

namespace lycheeshunt::packets {

// A datagram and the address of its sender.
struct received_datagram
{
    const base::endpoint from;
    const std::string bytes;

    bool operator==(const received_datagram &) const = default;
};

} // namespace lycheeshunt::packets
