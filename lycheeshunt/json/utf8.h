// Checks the encoding of text from outside.

#pragma once

#include <string_view>

namespace lycheeshunt::json {

// Whether the bytes are UTF-8 without surrogates and overlong forms.
bool isUtf8(std::string_view bytes);

} // namespace lycheeshunt::json
