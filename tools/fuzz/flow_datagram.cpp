#include "lycheeshunt/flows/codec.h"

#include "lycheeshunt/packets/packet_codec.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const packets::packet_codec codec = packets::ipPackets();
    const base::result<flows::flow_datagram> decoded
        = flows::decodeDatagram(fuzz::textOf(data, size), codec);
    const flows::flow_datagram *datagram = std::get_if<flows::flow_datagram>(&decoded);
    if (datagram == nullptr)
        return 0;
    const flows::peer_message *message = std::get_if<flows::peer_message>(datagram);
    const std::string encoded = message != nullptr
        ? flows::encodePeer(*message)
        : flows::encodePacket(std::get<flows::forwarded_packet>(*datagram));
    const base::result<flows::flow_datagram> again = flows::decodeDatagram(encoded, codec);
    fuzz::require(base::isOk(again) && base::valueOf(again) == *datagram);
    return 0;
}
