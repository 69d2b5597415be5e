#include "lycheeshunt/operators/where_query.h"

#include <cpprest/base_uri.h>

#include <algorithm>

namespace lycheeshunt::operators {

namespace {

base::error malformed(const std::string &name, const std::string &value, const std::string &limit)
{
    return {base::error_code::requestMalformed, name + " \"" + value + "\": must be " + limit};
}

} // namespace

base::result<base::flow_key> flowKeyFromQuery(const std::string &query)
{
    // The uri functions throw on a bad escape.
    try {
        std::map<std::string, std::string> values = web::uri::split_query(query);
        for (auto it = values.begin(); it != values.end(); ++it)
            it->second = web::uri::decode(it->second);
        const std::size_t known
            = values.count("caller") + values.count("address") + values.count("protocol");
        const std::ptrdiff_t separators = std::count(query.begin(), query.end(), '&');
        if (known != values.size() || known != static_cast<std::size_t>(separators) + 1)
            return malformed("query", query, "caller, address and optionally protocol, each once");
        for (const char *name : {"caller", "address"}) {
            if (!base::isOk(base::parseEndpoint(values[name])))
                return malformed(name, values[name],
                                 "an IPv4 address and a port of at most 65535, "
                                 "such as 192.0.2.1:443");
        }
        const std::string protocol = values.emplace("protocol", "6").first->second;
        if (protocol != "6" && protocol != "17")
            return malformed("protocol", protocol, "6 (TCP) or 17 (UDP)");
        return base::flow_key {base::valueOf(base::parseEndpoint(values["caller"])),
                               base::valueOf(base::parseEndpoint(values["address"])),
                               static_cast<std::uint8_t>(std::stoi(protocol))};
    } catch (const std::exception &failure) {
        return base::error {base::error_code::requestMalformed,
                            "query \"" + query + "\": " + failure.what()};
    }
}

} // namespace lycheeshunt::operators
