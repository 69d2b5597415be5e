// Rewrites TOML so that it has ASCII characters alone: comments are left out, and characters beyond
// ASCII in quoted texts become escapes. The behaviour of toml++ 3.3 is undefined for some of these
// characters wherever it looks for white space.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>

namespace lycheeshunt::settings::internal {

// Keeps the lines. Errors: settingsSyntax, with path and line, for a character beyond ASCII outside
// of comments and texts in double quotes, and for bytes that are no UTF-8.
base::result<std::string> asAscii(std::string_view text, const std::string &path);

} // namespace lycheeshunt::settings::internal
