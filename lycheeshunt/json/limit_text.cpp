#include "lycheeshunt/json/limit_text.h"

#include "lycheeshunt/json/members.h"
#include "lycheeshunt/json/place_text.h"

namespace lycheeshunt::json {

namespace {

std::string rangeText(const rapidjson::Value &schema)
{
    return " from " + valueText(memberIn(schema, "minimum")) + " to "
        + valueText(memberIn(schema, "maximum"));
}

std::string stringText(const rapidjson::Value &schema)
{
    const rapidjson::Value *choices = arrayIn(schema, "enum");
    if (choices == nullptr)
        return memberIn(schema, "minLength") != nullptr ? "a string that is not empty" : "a string";
    std::string text;
    for (const rapidjson::Value &choice : choices->GetArray())
        text += (text.empty() ? "" : " or ") + valueText(&choice);
    return text;
}

std::string arrayText(const rapidjson::Value &schema)
{
    const rapidjson::Value *most = memberIn(schema, "maxItems");
    return most == nullptr ? "an array" : "an array of at most " + valueText(most) + " elements";
}

std::string typeText(std::string_view type, const rapidjson::Value &schema)
{
    if (type == "integer")
        return "a whole number" + rangeText(schema);
    if (type == "number")
        return "a number" + rangeText(schema);
    if (type == "string")
        return stringText(schema);
    if (type == "array")
        return arrayText(schema);
    if (type == "object")
        return memberIn(schema, "maxProperties") != nullptr
            ? "an object with one of " + fieldNames(schema)
            : "an object";
    return type == "boolean" ? "true or false" : std::string(type);
}

} // namespace

std::string limitText(const rapidjson::Value &schema)
{
    const rapidjson::Value &types = requiredIn(schema, "type");
    if (types.IsString())
        return typeText(viewOf(types), schema);
    std::string text;
    for (const rapidjson::Value &type : types.GetArray())
        text += (text.empty() ? "" : " or ") + typeText(viewOf(type), schema);
    return text;
}

std::string fieldNames(const rapidjson::Value &schema)
{
    std::string names;
    for (const auto &property : requiredIn(schema, "properties").GetObject())
        names += (names.empty() ? "" : ", ") + nameText(property.name);
    return names;
}

} // namespace lycheeshunt::json
