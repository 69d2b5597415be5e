// MessagePack encoding of the messages between control VMs. docs/PROTOCOL.md lists the fields.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>

namespace lycheeshunt::replication {

struct peer_envelope;

std::string encodeEnvelope(const peer_envelope &envelope);

// Fails with messageTooLarge before anything is decoded, with messageVersion for an unsupported
// version, and with messageMalformed otherwise.
base::result<peer_envelope> decodeEnvelope(std::string_view bytes);

} // namespace lycheeshunt::replication
