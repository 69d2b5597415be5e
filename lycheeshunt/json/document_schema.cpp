#include "lycheeshunt/json/document_schema.h"

#include "lycheeshunt/json/limit_text.h"
#include "lycheeshunt/json/members.h"
#include "lycheeshunt/json/place_text.h"
#include "lycheeshunt/json/strict_parser.h"

#include <stdexcept>

namespace lycheeshunt::json {

namespace {

rapidjson::Document parsedSchema(const char *schema)
{
    rapidjson::Document source;
    source.Parse(schema);
    if (source.HasParseError() || !textIn(source, "title") || !numberIn(source, "code"))
        throw std::logic_error("JSON schema without valid syntax, title or code");
    return source;
}

json_path pathFrom(const rapidjson::Value &root, const rapidjson::Pointer &pointer)
{
    const rapidjson::Value *value = &root;
    std::vector<json_path::step> steps;
    for (std::size_t i = 0; value != nullptr && i < pointer.GetTokenCount(); ++i) {
        const rapidjson::Pointer::Token &token = pointer.GetTokens()[i];
        if (value->IsArray())
            steps.emplace_back(token.index);
        else
            steps.emplace_back(std::string(token.name, token.length));
        value = childOf(*value, steps.back());
    }
    return json_path {std::move(steps)};
}

// The innermost code on the way to this part of the schema.
base::error_code codeAt(const rapidjson::Value &schema, const json_path &path)
{
    const rapidjson::Value *part = &schema;
    std::uint64_t code = requiredIn(schema, "code").GetUint64();
    for (const json_path::step &step : path.steps) {
        part = childOf(*part, step);
        code = numberIn(*part, "code").value_or(code);
    }
    return static_cast<base::error_code>(code);
}

// The first required member that the object lacks.
std::string missingMember(const rapidjson::Value &object, const rapidjson::Value &schema)
{
    for (const rapidjson::Value &name : requiredIn(schema, "required").GetArray()) {
        if (memberIn(object, viewOf(name)) == nullptr)
            return std::string(viewOf(name));
    }
    return "";
}

} // namespace

document_schema::document_schema(const char *schema, base::error_code syntax)
    : m_source(parsedSchema(schema)), m_schema(m_source), m_title(*textIn(m_source, "title")),
      m_syntax(syntax)
{
}

base::result<rapidjson::Document> document_schema::read(const std::string &text) const
{
    base::result<rapidjson::Document> document = parseObject(text, m_title, m_syntax);
    if (!base::isOk(document))
        return document;
    if (const std::optional<base::error> violation = violationIn(base::valueOf(document)))
        return *violation;
    return document;
}

base::error document_schema::refusal(const rapidjson::Document &document, const json_path &path,
                                     base::error_code code, const std::string &limit) const
{
    return base::error {code,
                        placeText(document, path, m_title) + " is "
                            + valueText(valueAt(document, path)) + ", must be " + limit};
}

std::optional<base::error> document_schema::violationIn(const rapidjson::Document &document) const
{
    rapidjson::SchemaValidator validator(m_schema);
    document.Accept(validator);
    if (validator.IsValid())
        return std::nullopt;
    const std::string_view keyword = validator.GetInvalidSchemaKeyword();
    const json_path rule = pathFrom(m_source, validator.GetInvalidSchemaPointer());
    // The analyzer does not see that the temporary pointer deletes its allocator.
    // NOLINTNEXTLINE(clang-analyzer-cplusplus.NewDeleteLeaks)
    const json_path path = pathFrom(document, validator.GetInvalidDocumentPointer());
    const rapidjson::Value &violated = *valueAt(m_source, rule);
    if (keyword == "additionalProperties")
        return base::error {codeAt(m_source, rule),
                            placeText(document, path, m_title)
                                + " is an unknown field, must be one of " + fieldNames(violated)};
    if (keyword != "required")
        return refusal(document, path, codeAt(m_source, rule), limitText(violated));
    const std::string missing = missingMember(*valueAt(document, path), violated);
    const json_path absent = rule.member("properties").member(missing);
    return refusal(document, path.member(missing), codeAt(m_source, absent),
                   limitText(*valueAt(m_source, absent)));
}

} // namespace lycheeshunt::json
