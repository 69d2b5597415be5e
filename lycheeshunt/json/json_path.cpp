#include "lycheeshunt/json/json_path.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/json/members.h"

namespace lycheeshunt::json {

namespace {

json_path extended(const json_path &path, json_path::step step)
{
    std::vector<json_path::step> steps = path.steps;
    steps.push_back(std::move(step));
    return json_path {std::move(steps)};
}

} // namespace

json_path json_path::member(std::string_view name) const
{
    return extended(*this, std::string(name));
}

json_path json_path::element(rapidjson::SizeType index) const
{
    return extended(*this, index);
}

const rapidjson::Value *valueAt(const rapidjson::Value &document, const json_path &path)
{
    const rapidjson::Value *value = &document;
    for (auto it = path.steps.begin(); value != nullptr && it != path.steps.end(); ++it)
        value = childOf(*value, *it);
    return value;
}

const rapidjson::Value *childOf(const rapidjson::Value &value, const json_path::step &step)
{
    return std::visit(base::overloaded {
                          [&](const std::string &name) { return memberIn(value, name); },
                          [&](rapidjson::SizeType index) {
                              return value.IsArray() && index < value.Size() ? &value[index]
                                                                             : nullptr;
                          },
                      },
                      step);
}

} // namespace lycheeshunt::json
