// MessagePack form of probes and their echoes, one to a datagram.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/routing/probe_datagram.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheeshunt::routing {

std::string encodeProbe(const probe_datagram &datagram);
base::result<probe_datagram> decodeProbe(std::string_view bytes);

// Whether the bytes begin as a probe or an echo does; costs two comparisons.
bool hasProbePrefix(std::string_view bytes);

// What an agent of this life answers: nothing to a probe of another life, or to other bytes. The
// answer is as long as the probe, so that it amplifies nothing.
std::optional<std::string> echoOf(std::string_view bytes, base::incarnation life);

} // namespace lycheeshunt::routing
