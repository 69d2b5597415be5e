#include "lycheeshunt/replication/peer_envelope.h"
#include "lycheeshunt/replication/peer_codec.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const base::result<replication::peer_envelope> envelope
        = replication::decodeEnvelope(fuzz::textOf(data, size));
    if (base::isOk(envelope)) {
        const base::result<replication::peer_envelope> again
            = replication::decodeEnvelope(replication::encodeEnvelope(base::valueOf(envelope)));
        fuzz::require(base::isOk(again) && base::valueOf(again) == base::valueOf(envelope));
    }
    return 0;
}
