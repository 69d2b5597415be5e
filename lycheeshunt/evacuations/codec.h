// MessagePack form of an evacuation order, for the log.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/evacuations/evacuation_order.h"

#include <string_view>

namespace lycheeshunt::evacuations {

// The longest name of an availability zone, in bytes; membership has the same limit.
constexpr std::size_t maxZoneBytes = 255;

bool isZoneName(std::string_view name);

std::string encodeOrder(const evacuation_order &order);
// Fails with messageVersion or messageMalformed unless the bytes are complete output of
// encodeOrder.
base::result<evacuation_order> decodeOrder(std::string_view bytes);

} // namespace lycheeshunt::evacuations
