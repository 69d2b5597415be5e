#include "lycheeshunt/json/strict_parser.h"

#include "lycheeshunt/json/json_path.h"
#include "lycheeshunt/json/members.h"
#include "lycheeshunt/json/place_text.h"
#include "lycheeshunt/json/utf8.h"

#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <tuple>
#include <vector>

namespace lycheeshunt::json {

namespace {

constexpr std::size_t maxDepth = 32;
constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";

bool isNestedTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool isQuoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (isQuoted && letter == '\\')
            ++i;
        else if (letter == '"')
            isQuoted = !isQuoted;
        else if (!isQuoted && (letter == '[' || letter == '{') && ++depth > maxDepth)
            return true;
        else if (!isQuoted && (letter == ']' || letter == '}') && depth > 0)
            --depth;
    }
    return false;
}

// A place below the root, as a list from the inside out. It becomes a path only for a refusal.
struct trail
{
    const trail *const parent;
    // Null for an element of an array.
    const rapidjson::Value *const name;
    const rapidjson::SizeType index;
};

json_path pathOf(const trail *place)
{
    if (place == nullptr)
        return {};
    const json_path parent = pathOf(place->parent);
    return place->name == nullptr ? parent.element(place->index)
                                  : parent.member(viewOf(*place->name));
}

struct hashed_name
{
    std::uint64_t hash;
    std::string_view name;
    const rapidjson::Value *value;
};

// Returns a name that another member of the object has too.
const rapidjson::Value *repeatedName(const rapidjson::Value &object)
{
    // Comparing all pairs of so few takes less time than sorting them.
    constexpr rapidjson::SizeType fewMembers = 16;
    const auto begin = object.MemberBegin();
    const auto end = object.MemberEnd();
    if (object.MemberCount() <= fewMembers) {
        for (auto it = begin; it != end; ++it) {
            for (auto earlier = begin; earlier != it; ++earlier) {
                if (viewOf(earlier->name) == viewOf(it->name))
                    return &it->name;
            }
        }
        return nullptr;
    }
    // Most hashes differ, and take less time to sort than names.
    std::vector<hashed_name> names;
    names.reserve(object.MemberCount());
    for (auto it = begin; it != end; ++it) {
        const std::string_view name = viewOf(it->name);
        names.push_back(hashed_name {XXH3_64bits(name.data(), name.size()), name, &it->name});
    }
    std::sort(names.begin(), names.end(), [](const hashed_name &left, const hashed_name &right) {
        return std::tie(left.hash, left.name) < std::tie(right.hash, right.name);
    });
    const auto found = std::adjacent_find(
        names.begin(), names.end(),
        [](const hashed_name &left, const hashed_name &right) { return left.name == right.name; });
    return found == names.end() ? nullptr : found->value;
}

// Checks the names of all objects, and strings for surrogates, which only escapes can produce.
class content_check
{
public:
    content_check(const rapidjson::Document &document, const std::string &title, bool hasEscapes)
        : m_document(document), m_title(title), m_hasEscapes(hasEscapes)
    {
    }

    std::optional<std::string> fault() const { return faultIn(m_document, nullptr); }

private:
    // maxDepth bounds the recursion.
    std::optional<std::string> faultIn(const rapidjson::Value &value, const trail *place) const
    {
        if (value.IsString() && m_hasEscapes && !isUtf8(viewOf(value)))
            return at(place) + " must not have an unpaired surrogate";
        if (value.IsArray()) {
            for (rapidjson::SizeType i = 0; i < value.Size(); ++i) {
                const trail element {place, nullptr, i};
                if (std::optional<std::string> fault = faultIn(value[i], &element))
                    return fault;
            }
        }
        return value.IsObject() ? faultInObject(value, place) : std::nullopt;
    }

    std::optional<std::string> faultInObject(const rapidjson::Value &object,
                                             const trail *place) const
    {
        for (auto it = object.MemberBegin(); it != object.MemberEnd(); ++it) {
            if (m_hasEscapes && !isUtf8(viewOf(it->name)))
                return at(place) + " must not have a name with an unpaired surrogate";
            const trail member {place, &it->name, 0};
            if (std::optional<std::string> fault = faultIn(it->value, &member))
                return fault;
        }
        const rapidjson::Value *repeated = repeatedName(object);
        if (repeated == nullptr)
            return std::nullopt;
        const trail member {place, repeated, 0};
        return at(&member) + " occurs more than once, must occur at most once";
    }

    std::string at(const trail *place) const
    {
        return placeText(m_document, pathOf(place), m_title);
    }

    const rapidjson::Document &m_document;
    const std::string &m_title;
    const bool m_hasEscapes;
};

std::string syntaxFault(const rapidjson::Document &document, std::size_t skipped)
{
    return std::string(rapidjson::GetParseError_En(document.GetParseError())) + " At byte "
        + std::to_string(document.GetErrorOffset() + skipped);
}

} // namespace

base::result<rapidjson::Document> parseObject(const std::string &text, const std::string &title,
                                              base::error_code code)
{
    const auto refused = [&](const std::string &fault) {
        return base::error {code, title + " is not valid: " + fault};
    };
    // The parser reads a NUL as the end of the text.
    const std::size_t nul = text.find('\0');
    if (nul != std::string::npos)
        return refused("NUL at byte " + std::to_string(nul));
    // The parser and the destructor of what it reads recurse.
    if (isNestedTooDeep(text))
        return refused("nested deeper than " + std::to_string(maxDepth));
    const std::size_t skipped = text.starts_with(byteOrderMark) ? byteOrderMark.size() : 0;
    // Document::Parse(data, size) would skip the bytes of an incomplete byte order mark.
    rapidjson::MemoryStream stream(text.data() + skipped, text.size() - skipped);
    rapidjson::Document document;
    document.ParseStream<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(
        stream);
    if (document.HasParseError())
        return refused(syntaxFault(document, skipped));
    if (!document.IsObject())
        return refused("it must be an object");
    const bool hasEscapes = text.find("\\u") != std::string::npos;
    const content_check content(document, title, hasEscapes);
    if (const std::optional<std::string> fault = content.fault())
        return refused(*fault);
    return document;
}

} // namespace lycheeshunt::json
