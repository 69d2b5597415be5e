#include "lycheeshunt/json/place_text.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/json/json_path.h"
#include "lycheeshunt/json/members.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace lycheeshunt::json {

namespace {

// Enough for any number; the rest of a longer value would only fill the answer.
constexpr std::size_t maxTextBytes = 40;

std::string shortened(std::string text)
{
    if (text.size() <= maxTextBytes)
        return text;
    text.resize(maxTextBytes);
    return text + "...";
}

std::string jsonOf(const rapidjson::Value &value)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer, rapidjson::UTF8<>, rapidjson::ASCII<>> writer(
        buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

// The name of an object that has one; its own name does not say whose field `name` is.
std::string ownerText(const rapidjson::Value *object, const std::string &field)
{
    const rapidjson::Value *name
        = object == nullptr || field == "name" ? nullptr : memberIn(*object, "name");
    return name != nullptr && name->IsString() ? nameText(*name) : "";
}

} // namespace

std::string placeText(const rapidjson::Value &document, const json_path &path,
                      const std::string &title)
{
    const rapidjson::Value *value = &document;
    std::string objects;
    std::string field;
    std::string owner;
    for (const json_path::step &step : path.steps) {
        std::visit(
            base::overloaded {
                [&](const std::string &name) {
                    if (!field.empty())
                        objects += (objects.empty() ? "" : ".") + field;
                    field = nameText(
                        rapidjson::Value(rapidjson::StringRef(name.data(), name.size())));
                    const std::string named = ownerText(value, name);
                    owner = named.empty() ? owner : named;
                },
                [&](rapidjson::SizeType index) { field += "[" + std::to_string(index) + "]"; },
            },
            step);
        value = value == nullptr ? nullptr : childOf(*value, step);
    }
    if (path.steps.empty())
        return title;
    if (owner.empty() && objects.empty())
        owner = title;
    return (objects.empty() ? "" : objects + ": ") + field + (owner.empty() ? "" : " of " + owner);
}

std::string valueText(const rapidjson::Value *value)
{
    if (value == nullptr)
        return "missing";
    const std::string text = shortened(jsonOf(*value));
    return value->IsArray() && text.size() > maxTextBytes
        ? text + " (" + std::to_string(value->Size()) + " elements)"
        : text;
}

std::string nameText(const rapidjson::Value &name)
{
    const std::string quoted = jsonOf(name);
    return shortened(quoted.substr(1, quoted.size() - 2));
}

} // namespace lycheeshunt::json
