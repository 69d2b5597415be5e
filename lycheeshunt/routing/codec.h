// MessagePack encoding of liveness probes and their echoes, one per datagram.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/routing/probe_datagram.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheeshunt::routing {

std::string encodeProbe(const probe_datagram &datagram);
base::result<probe_datagram> decodeProbe(std::string_view bytes);

// Whether the bytes have the length and the first byte of a probe or an echo. Costs two
// comparisons, so it can run on every datagram.
bool hasProbePrefix(std::string_view bytes);

// The echo that an agent of this incarnation sends for the bytes; nothing if they are not a probe
// of this incarnation. An echo is as long as its probe, so that it can't be used for amplification.
std::optional<std::string> echoOf(std::string_view bytes, base::incarnation incarnation);

} // namespace lycheeshunt::routing
