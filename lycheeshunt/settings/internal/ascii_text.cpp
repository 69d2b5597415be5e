#include "lycheeshunt/settings/internal/ascii_text.h"

#include <array>
#include <bit>
#include <cstdio>
#include <optional>

namespace lycheeshunt::settings::internal {

namespace {

constexpr std::uint8_t firstBeyondAscii = 0x80;

struct character
{
    const std::uint32_t codePoint;
    const std::size_t bytes;
};

// The character beyond ASCII at the start of the text; empty if its bytes are no UTF-8.
std::optional<character> firstOf(std::string_view text)
{
    constexpr int continuationBits = 6;
    constexpr std::uint8_t continuationMask = 0x3f;
    constexpr std::size_t maxBytes = 4;
    // The smallest code point of a character of this many bytes.
    constexpr std::array<std::uint32_t, maxBytes + 1> smallest {0, 0, 0x80, 0x800, 0x10000};
    const std::uint8_t lead = static_cast<std::uint8_t>(text.front());
    const std::size_t count = static_cast<std::size_t>(std::countl_one(lead));
    if (count < 2 || count > maxBytes || text.size() < count)
        return std::nullopt;
    std::uint32_t codePoint = lead & (0xffU >> (count + 1));
    for (std::size_t i = 1; i < count; ++i) {
        const std::uint8_t next = static_cast<std::uint8_t>(text[i]);
        if (next >> continuationBits != 2)
            return std::nullopt;
        codePoint = (codePoint << continuationBits) | (next & continuationMask);
    }
    const bool isSurrogate = codePoint >= 0xd800 && codePoint <= 0xdfff;
    if (codePoint < smallest[count] || codePoint > 0x10ffff || isSurrogate)
        return std::nullopt;
    return character {codePoint, count};
}

std::string escapeOf(std::uint32_t codePoint)
{
    std::array<char, sizeof "\\U00000000"> escape {};
    std::snprintf(escape.data(), escape.size(), "\\U%08x", codePoint);
    return escape.data();
}

} // namespace

base::result<std::string> asAscii(std::string_view text, const std::string &path)
{
    std::string ascii;
    std::size_t line = 1;
    char quote = '\0';
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        line += letter == '\n' ? 1 : 0;
        if (static_cast<std::uint8_t>(letter) >= firstBeyondAscii) {
            const std::optional<character> found = firstOf(text.substr(i));
            if (!found || quote != '"')
                return base::error {base::error_code::settingsSyntax,
                                    path + ":" + std::to_string(line)
                                        + ": a character beyond ASCII outside of a text in double "
                                          "quotes"};
            ascii += escapeOf(found->codePoint);
            i += found->bytes - 1;
        } else if (quote == '\0' && letter == '#') {
            i = std::min(text.find('\n', i), text.size()) - 1;
        } else if (quote == '"' && letter == '\\' && i + 1 < text.size()
                   && static_cast<std::uint8_t>(text[i + 1]) < firstBeyondAscii) {
            ascii += letter;
            ascii += text[++i];
            line += text[i] == '\n' ? 1 : 0;
        } else {
            if (quote == '\0' && (letter == '"' || letter == '\''))
                quote = letter;
            else if (letter == quote)
                quote = '\0';
            ascii += letter;
        }
    }
    return ascii;
}

} // namespace lycheeshunt::settings::internal
