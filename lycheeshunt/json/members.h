// Typed access to the members of JSON objects. A member that is missing or of another type yields
// nullopt or null.

#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeshunt::json {

// Precondition: the object has the member.
const rapidjson::Value &requiredIn(const rapidjson::Value &object, std::string_view name);
// Null when the member is missing.
const rapidjson::Value *memberIn(const rapidjson::Value &object, std::string_view name);
std::optional<std::string> textIn(const rapidjson::Value &object, std::string_view name);
std::optional<std::uint64_t> numberIn(const rapidjson::Value &object, std::string_view name);
// Null when the member is missing or not an array.
const rapidjson::Value *arrayIn(const rapidjson::Value &object, std::string_view name);

// The bytes of a string or of a member's name; valid as long as the value.
std::string_view viewOf(const rapidjson::Value &text);

} // namespace lycheeshunt::json
