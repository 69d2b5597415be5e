// Encodes the messages between agents as MessagePack arrays. The first field is the version, the
// second the kind of the message.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/flows/peer_message.h"

#include <msgpack.hpp>

#include <string>

namespace lycheeshunt::flows::internal {

constexpr std::uint8_t wireVersion = 1;

enum datagram_kind : std::uint8_t {
    packetKind = 1,
    registrationKind = 2,
    acknowledgementKind = 3,
    lookupKind = 4,
    lookupAnswerKind = 5,
    recoveryRequestKind = 6,
    recoveryPageKind = 7,
    ownerHintKind = 8,
    loadReportKind = 9,
    openingHintKind = 10,
    hintWithdrawnKind = 11,
};

// Limit on the flows of a registration batch or a recovery page.
constexpr std::size_t maxFlowsInMessage = 64;

base::error malformed(const char *what);

std::string encodePeerFields(const peer_message &message);

// Precondition: object is an array whose version has been checked. Throws the exceptions of msgpack
// when a field has the wrong type.
base::result<peer_message> decodePeerFields(std::uint8_t kind, const msgpack::object &object);

} // namespace lycheeshunt::flows::internal
