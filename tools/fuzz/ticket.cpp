#include "lycheeshunt/tickets/codec.h"

#include "lycheeshunt/tickets/address_route.h"
#include "lycheeshunt/tickets/ticket.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::textOf(data, size);
    const base::result<tickets::ticket> ticket = tickets::decodeTicket(bytes);
    if (base::isOk(ticket)) {
        const base::result<tickets::ticket> again
            = tickets::decodeTicket(tickets::encodeTicket(base::valueOf(ticket)));
        fuzz::require(base::isOk(again) && base::valueOf(again) == base::valueOf(ticket));
    }
    const base::result<tickets::service_definition> service = tickets::decodeService(bytes);
    if (base::isOk(service))
        fuzz::require(
            base::isOk(tickets::decodeService(tickets::encodeService(base::valueOf(service)))));
    const base::result<tickets::address_route> route = tickets::decodeRoute(bytes);
    if (base::isOk(route))
        fuzz::require(base::isOk(tickets::decodeRoute(tickets::encodeRoute(base::valueOf(route)))));
    const base::result<tickets::service_address> address = tickets::decodeAddress(bytes);
    if (base::isOk(address))
        fuzz::require(
            base::isOk(tickets::decodeAddress(tickets::encodeAddress(base::valueOf(address)))));
    return 0;
}
