#include "lycheeshunt/base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace lycheeshunt::base {

std::string endpoint::text() const
{
    char buffer[INET_ADDRSTRLEN] = {};
    const in_addr raw {htonl(address)};
    inet_ntop(AF_INET, &raw, buffer, sizeof buffer);
    return std::string(buffer) + ":" + std::to_string(port);
}

result<endpoint> parseEndpoint(std::string_view text)
{
    const error failure {error_code::settingsBadValue,
                         "not an address of the form a.b.c.d:port: " + std::string(text)};
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure;
    in_addr raw {};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &raw) != 1)
        return failure;
    std::uint16_t port = 0;
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(first, last, port);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        return failure;
    return endpoint {ntohl(raw.s_addr), port};
}

} // namespace lycheeshunt::base
