// The declared form of one kind of JSON document, in JSON Schema (draft 4, as RapidJSON implements
// it).

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/json/json_path.h"

#include <rapidjson/schema.h>

#include <optional>
#include <string>

namespace lycheeshunt::json {

// Threads may share one. Two keywords are this class's own: `title` at the root names the document
// in refusals, and `code` is the number of the error for a violation there and below.
class document_schema
{
public:
    // `syntax` is the error of a text that is no JSON object. Precondition: the schema is valid.
    document_schema(const char *schema, base::error_code syntax);

    // Parses the text and validates all of it against the schema.
    base::result<rapidjson::Document> read(const std::string &text) const;

    // A refusal of the value at this path for a reason that a schema can't express. `limit`
    // completes "must be".
    base::error refusal(const rapidjson::Document &document, const json_path &path,
                        base::error_code code, const std::string &limit) const;

private:
    std::optional<base::error> violationIn(const rapidjson::Document &document) const;

    const rapidjson::Document m_source;
    const rapidjson::SchemaDocument m_schema;
    const std::string m_title;
    const base::error_code m_syntax;
};

} // namespace lycheeshunt::json
