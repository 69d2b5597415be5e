// Texts about values of a JSON document, for refusals. They are ASCII, with escapes.

#pragma once

#include <rapidjson/document.h>

#include <string>

namespace lycheeshunt::json {

struct json_path;

// "routes[1]: timeout_ms of r2": the enclosing objects and lists, the field, and the name of the
// nearest enclosing object that has one. `title` names the document in place of an object.
std::string placeText(const rapidjson::Value &document, const json_path &path,
                      const std::string &title);

// The value as JSON, shortened; "missing" if there is none.
std::string valueText(const rapidjson::Value *value);

// A string without quotes, shortened.
std::string nameText(const rapidjson::Value &name);

} // namespace lycheeshunt::json
