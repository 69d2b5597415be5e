// Compressed MessagePack form of a desired state, for the log.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/states/desired_state.h"

#include <string_view>

namespace lycheeshunt::states {

std::string encodeState(const desired_state &state);
// Anything but whole bytes of encodeState is messageMalformed or messageTooLarge.
base::result<shared_state> decodeState(std::string_view bytes);
// Costs no decompression.
base::result<std::uint64_t> versionOf(std::string_view bytes);

} // namespace lycheeshunt::states
