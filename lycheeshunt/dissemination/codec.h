// MessagePack encoding of the messages between control and the nodes about views. The first byte of
// a message is its kind; an unknown kind is refused with messageVersion.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/dissemination/control_message.h"
#include "lycheeshunt/dissemination/node_message.h"
#include "lycheeshunt/dissemination/snapshot_cut.h"

#include <string>
#include <string_view>

namespace lycheeshunt::dissemination {

// The previous services of members are internal to control and are not encoded.
std::string encodeControlMessage(const control_message &message);
// A snapshot piece is the head and the body. The body is the same for all nodes of a scope.
std::string encodePieceHead(const snapshot_cut &cut, base::generation newest,
                            std::uint32_t follows);
std::string encodePieceBody(const snapshot_cut &cut);
base::result<control_message> decodeControlMessage(std::string_view bytes);

std::string encodeNodeMessage(const node_message &message);
base::result<node_message> decodeNodeMessage(std::string_view bytes);

} // namespace lycheeshunt::dissemination
