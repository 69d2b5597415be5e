#include "lycheeshunt/states/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/base/compression.h"
#include "lycheeshunt/tickets/codec.h"

#include <tuple>

namespace lycheeshunt::states {

namespace {

// Version of the state, bytes before compression, compressed bytes.
using envelope_fields = std::tuple<std::uint64_t, std::uint32_t, std::string>;
using state_fields
    = std::tuple<std::uint64_t, std::string, std::vector<std::string>, std::vector<std::string>>;

// More than any document that the API takes, with its routes beside it.
constexpr std::uint32_t maxStateBytes = 4 * 1024 * 1024;

base::error malformed(const char *what)
{
    return base::error {base::error_code::messageMalformed, what};
}

} // namespace

std::string encodeState(const desired_state &state)
{
    std::vector<std::string> services;
    for (const tickets::service_definition &service : state.services)
        services.push_back(tickets::encodeService(service));
    std::vector<std::string> routes;
    for (const tickets::address_route &route : state.routes)
        routes.push_back(tickets::encodeRoute(route));
    const std::string plain
        = base::packFields(state_fields(state.version, state.document, services, routes));
    const base::compressed_bytes packed = base::compress(plain);
    return base::packFields(envelope_fields(state.version, packed.length, packed.bytes));
}

base::result<shared_state> decodeState(std::string_view bytes)
{
    const base::result<envelope_fields> envelope = base::unpackFields<envelope_fields>(bytes);
    if (const base::error *failure = base::errorOf(envelope))
        return *failure;
    const auto &[envelopeVersion, length, packed] = base::valueOf(envelope);
    const base::result<std::string> plain
        = base::expand(base::compressed_bytes {length, packed}, maxStateBytes);
    if (const base::error *failure = base::errorOf(plain))
        return *failure;
    const base::result<state_fields> fields
        = base::unpackFields<state_fields>(base::valueOf(plain));
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[version, document, rawServices, rawRoutes] = base::valueOf(fields);
    if (version != envelopeVersion)
        return malformed("version of a desired state");
    std::vector<tickets::service_definition> services;
    for (const std::string &raw : rawServices) {
        const base::result<tickets::service_definition> service = tickets::decodeService(raw);
        if (const base::error *failure = base::errorOf(service))
            return *failure;
        services.push_back(base::valueOf(service));
    }
    std::vector<tickets::address_route> routes;
    for (const std::string &raw : rawRoutes) {
        const base::result<tickets::address_route> route = tickets::decodeRoute(raw);
        if (const base::error *failure = base::errorOf(route))
            return *failure;
        routes.push_back(base::valueOf(route));
    }
    return std::make_shared<const desired_state>(
        desired_state {version, document, std::move(services), std::move(routes)});
}

base::result<std::uint64_t> versionOf(std::string_view bytes)
{
    const base::result<envelope_fields> envelope = base::unpackFields<envelope_fields>(bytes);
    if (const base::error *failure = base::errorOf(envelope))
        return *failure;
    return std::get<0>(base::valueOf(envelope));
}

} // namespace lycheeshunt::states
