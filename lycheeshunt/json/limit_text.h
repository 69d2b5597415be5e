// Describes in words what a part of a JSON schema allows.

#pragma once

#include <rapidjson/document.h>

#include <string>

namespace lycheeshunt::json {

// Completes "must be", as in "a whole number from 1 to 86400000".
std::string limitText(const rapidjson::Value &schema);

// The fields of an object, separated by commas.
std::string fieldNames(const rapidjson::Value &schema);

} // namespace lycheeshunt::json
