// MessagePack form of what control VMs say to each other. docs/PROTOCOL.md lists the fields.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>

namespace lycheeshunt::replication {

struct peer_envelope;

std::string encodeEnvelope(const peer_envelope &envelope);

// messageTooLarge before anything is decoded; messageVersion for a version this build does not
// know; messageMalformed for the rest.
base::result<peer_envelope> decodeEnvelope(std::string_view bytes);

} // namespace lycheeshunt::replication
