// Compressed MessagePack form of a desired state, for the log.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/states/desired_state.h"

#include <string_view>

namespace lycheeshunt::states {

std::string encodeState(const desired_state &state);
// Fails with messageMalformed or messageTooLarge unless the bytes are complete output of
// encodeState.
base::result<shared_state> decodeState(std::string_view bytes);
// Reads the version without decompressing the state.
base::result<std::uint64_t> versionOf(std::string_view bytes);

} // namespace lycheeshunt::states
