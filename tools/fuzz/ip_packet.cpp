#include "lycheeshunt/packets/ip_packet.h"

#include "lycheeshunt/packets/packet_codec.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const packets::packet_codec codec = packets::ipPackets();
    const std::string_view bytes = fuzz::textOf(data, size);
    if (base::isOk(codec.summarize(bytes, packets::direction::fromCaller))) {
        const std::string reset = codec.resetFor(bytes);
        fuzz::require(reset.empty()
                      || base::isOk(codec.summarize(reset, packets::direction::toCaller)));
    }
    return 0;
}
