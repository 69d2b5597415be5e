// The place of a value in a JSON document.

#pragma once

#include <rapidjson/document.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheeshunt::json {

// The names of members and positions in arrays that lead to a value from the root.
struct json_path
{
    using step = std::variant<std::string, rapidjson::SizeType>;

    const std::vector<step> steps = {};

    json_path member(std::string_view name) const;
    json_path element(rapidjson::SizeType index) const;

    bool operator==(const json_path &) const = default;
};

// Null if there is no value at this place.
const rapidjson::Value *valueAt(const rapidjson::Value &document, const json_path &path);

// Null if the value has no such member or element.
const rapidjson::Value *childOf(const rapidjson::Value &value, const json_path::step &step);

} // namespace lycheeshunt::json
