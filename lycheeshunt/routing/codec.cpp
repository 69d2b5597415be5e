#include "lycheeshunt/routing/codec.h"

#include "lycheeshunt/base/codec.h"

#include <tuple>

namespace lycheeshunt::routing {

namespace {

constexpr std::uint8_t wireVersion = 1;
constexpr std::size_t maxProbeBytes = 32;
// The MessagePack header of an array of four elements.
constexpr char arrayOfFour = static_cast<char>(0x94);

using probe_fields = std::tuple<std::uint8_t, std::uint8_t, std::uint64_t, std::uint64_t>;

} // namespace

std::string encodeProbe(const probe_datagram &datagram)
{
    return base::packFields(probe_fields(wireVersion, static_cast<std::uint8_t>(datagram.kind),
                                         datagram.incarnation.value(), datagram.number));
}

base::result<probe_datagram> decodeProbe(std::string_view bytes)
{
    if (bytes.size() > maxProbeBytes)
        return base::error {base::error_code::messageTooLarge, "probe"};
    const base::result<probe_fields> fields = base::unpackFields<probe_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[version, kind, incarnation, number] = base::valueOf(fields);
    if (version != wireVersion)
        return base::error {base::error_code::messageVersion, "probe"};
    if (kind != static_cast<std::uint8_t>(probe_kind::probe)
        && kind != static_cast<std::uint8_t>(probe_kind::echo))
        return base::error {base::error_code::messageMalformed, "kind of probe"};
    return probe_datagram {static_cast<probe_kind>(kind), base::incarnation(incarnation), number};
}

bool hasProbePrefix(std::string_view bytes)
{
    return bytes.size() <= maxProbeBytes && !bytes.empty() && bytes.front() == arrayOfFour;
}

std::optional<std::string> echoOf(std::string_view bytes, base::incarnation incarnation)
{
    const base::result<probe_datagram> decoded = decodeProbe(bytes);
    const probe_datagram *probe = std::get_if<probe_datagram>(&decoded);
    if (probe == nullptr || probe->kind != probe_kind::probe || probe->incarnation != incarnation)
        return std::nullopt;
    return encodeProbe(probe_datagram {probe_kind::echo, incarnation, probe->number});
}

} // namespace lycheeshunt::routing
