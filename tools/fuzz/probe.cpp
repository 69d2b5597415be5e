#include "lycheeshunt/routing/codec.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::textOf(data, size);
    const base::result<routing::probe_datagram> decoded = routing::decodeProbe(bytes);
    const routing::probe_datagram *probe = std::get_if<routing::probe_datagram>(&decoded);
    if (probe != nullptr)
        fuzz::require(base::isOk(routing::decodeProbe(routing::encodeProbe(*probe))));
    routing::echoOf(bytes, base::incarnation(1));
    return 0;
}
