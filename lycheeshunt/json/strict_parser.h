// Parses JSON documents that people and other programs send.

#pragma once

#include "lycheeshunt/base/result.h"

#include <rapidjson/document.h>

#include <string>

namespace lycheeshunt::json {

// Fails with this code, and a text that names the fault, unless the whole text is one JSON object
// in UTF-8 that is nested at most 32 deep and has no name twice in any object. `title` names the
// document in that text.
base::result<rapidjson::Document> parseObject(const std::string &text, const std::string &title,
                                              base::error_code code);

} // namespace lycheeshunt::json
