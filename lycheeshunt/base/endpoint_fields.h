// Converts an endpoint to and from the fields of a message.

#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <tuple>

namespace lycheeshunt::base {

using endpoint_fields = std::tuple<std::uint32_t, std::uint16_t>;

inline endpoint_fields fieldsOf(const endpoint &where)
{
    return endpoint_fields(where.address, where.port);
}

inline endpoint endpointOf(const endpoint_fields &fields)
{
    return endpoint {std::get<0>(fields), std::get<1>(fields)};
}

} // namespace lycheeshunt::base
