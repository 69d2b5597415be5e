#include "lycheeshunt/operators/ticket_schema.h"

#include "lycheeshunt/json/document_schema.h"
#include "lycheeshunt/json/members.h"

#include <netinet/in.h>

namespace lycheeshunt::operators {

namespace {

// The form alone: tickets/validation.cpp checks ranges, with codes of their own.
const json::document_schema schema(R"({
  "title": "ticket", "code": 601, "type": "object", "additionalProperties": false,
  "required": ["number", "author", "changes"],
  "properties": {
    "number": {"type": "integer", "minimum": 0, "maximum": 18446744073709551615},
    "author": {"type": "string"},
    "changes": {
      "type": "array",
      "items": {
        "type": "object", "additionalProperties": false, "minProperties": 1, "maxProperties": 1,
        "properties": {
          "service": {
            "type": "object", "additionalProperties": false, "required": ["name", "addresses"],
            "properties": {
              "name": {"type": "string"},
              "addresses": {"type": "array", "items": {"type": "string"}},
              "limits": {
                "type": "object", "additionalProperties": false,
                "properties": {
                  "slots": {"type": "integer", "minimum": 0, "maximum": 4294967295},
                  "connections": {"type": "integer", "minimum": 0, "maximum": 4294967295},
                  "queue_length": {"type": "integer", "minimum": 0, "maximum": 4294967295},
                  "queue_wait_ms": {"type": "integer", "minimum": 0, "maximum": 4294967295},
                  "long_work_age_ms": {"type": "integer", "minimum": 0, "maximum": 4294967295},
                  "short_only_slots": {"type": "integer", "minimum": 0, "maximum": 4294967295}
                }
              },
              "buckets": {"type": "integer", "minimum": 0, "maximum": 4294967295}
            }
          },
          "remove_service": {"type": "string"},
          "drain": {
            "type": "object", "additionalProperties": false, "required": ["node"],
            "properties": {"node": {"type": "string"}, "draining": {"type": "boolean"}}
          }
        }
      }
    }
  }
})",
                                   base::error_code::ticketMalformed);

std::optional<base::error> addressFault(const rapidjson::Document &document)
{
    const rapidjson::Value &changes = json::requiredIn(document, "changes");
    for (rapidjson::SizeType i = 0; i < changes.Size(); ++i) {
        const rapidjson::Value *service = json::memberIn(changes[i], "service");
        if (service == nullptr)
            continue;
        const rapidjson::Value &addresses = json::requiredIn(*service, "addresses");
        for (rapidjson::SizeType j = 0; j < addresses.Size(); ++j) {
            if (!addressFrom(json::viewOf(addresses[j]))) {
                const json::json_path path
                    = json::json_path().member("changes").element(i).member("service");
                return schema.refusal(document, path.member("addresses").element(j),
                                      base::error_code::ticketMalformed,
                                      "of the form tcp:192.0.2.1:443");
            }
        }
    }
    return std::nullopt;
}

} // namespace

base::result<rapidjson::Document> readValidTicket(const std::string &text)
{
    base::result<rapidjson::Document> document = schema.read(text);
    if (!base::isOk(document))
        return document;
    if (const std::optional<base::error> fault = addressFault(base::valueOf(document)))
        return *fault;
    return document;
}

std::optional<tickets::service_address> addressFrom(std::string_view text)
{
    constexpr std::size_t schemeLength = 4;
    const std::string_view scheme = text.substr(0, schemeLength);
    // The parser of addresses reads a NUL as the end of the host.
    if ((scheme != "tcp:" && scheme != "udp:") || text.find('\0') != std::string_view::npos)
        return std::nullopt;
    const base::result<base::endpoint> where = base::parseEndpoint(text.substr(schemeLength));
    if (!base::isOk(where))
        return std::nullopt;
    constexpr std::uint8_t tcp = IPPROTO_TCP;
    constexpr std::uint8_t udp = IPPROTO_UDP;
    return tickets::service_address {base::valueOf(where), scheme == "tcp:" ? tcp : udp};
}

} // namespace lycheeshunt::operators
