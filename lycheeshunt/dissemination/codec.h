// MessagePack encoding of the messages between control and the nodes about views. The first byte of
// a message is its kind; an unknown kind is refused with messageVersion.

#pragma once

#include "lycheeshunt/base/compressed_bytes.h"
#include "lycheeshunt/base/result.h"
#include "lycheeshunt/dissemination/control_message.h"
#include "lycheeshunt/dissemination/node_message.h"
#include "lycheeshunt/dissemination/snapshot_cut.h"

#include <string>
#include <string_view>

namespace lycheeshunt::dissemination {

// The previous services of members are internal to control and are not encoded.
std::string encodeControlMessage(const control_message &message);
// What is the same for all nodes of a scope, and does not depend on the newest generation.
std::string encodePieceBody(const snapshot_cut &cut);
std::string encodePiece(base::generation at, base::generation newest, const std::string &body);
// For nodes that have sent a view_window.
std::string encodeCompressedPiece(base::generation at, base::generation newest,
                                  std::uint32_t follows, const base::compressed_bytes &body);
base::result<control_message> decodeControlMessage(std::string_view bytes);

std::string encodeNodeMessage(const node_message &message);
base::result<node_message> decodeNodeMessage(std::string_view bytes);

} // namespace lycheeshunt::dissemination
