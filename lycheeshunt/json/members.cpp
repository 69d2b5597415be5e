#include "lycheeshunt/json/members.h"

#include <stdexcept>

namespace lycheeshunt::json {

const rapidjson::Value *memberIn(const rapidjson::Value &object, std::string_view name)
{
    if (!object.IsObject())
        return nullptr;
    const rapidjson::Value key(rapidjson::StringRef(name.data(), name.size()));
    const auto found = object.FindMember(key);
    return found == object.MemberEnd() ? nullptr : &found->value;
}

const rapidjson::Value &requiredIn(const rapidjson::Value &object, std::string_view name)
{
    const rapidjson::Value *member = memberIn(object, name);
    if (member == nullptr)
        throw std::logic_error("missing member " + std::string(name));
    return *member;
}

std::optional<std::string> textIn(const rapidjson::Value &object, std::string_view name)
{
    const rapidjson::Value *member = memberIn(object, name);
    if (member == nullptr || !member->IsString())
        return std::nullopt;
    return std::string(viewOf(*member));
}

std::optional<std::uint64_t> numberIn(const rapidjson::Value &object, std::string_view name)
{
    const rapidjson::Value *member = memberIn(object, name);
    if (member == nullptr || !member->IsUint64())
        return std::nullopt;
    return member->GetUint64();
}

const rapidjson::Value *arrayIn(const rapidjson::Value &object, std::string_view name)
{
    const rapidjson::Value *member = memberIn(object, name);
    return member != nullptr && member->IsArray() ? member : nullptr;
}

std::string_view viewOf(const rapidjson::Value &text)
{
    return {text.GetString(), text.GetStringLength()};
}

} // namespace lycheeshunt::json
