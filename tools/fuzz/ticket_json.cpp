#include "lycheeshunt/operators/json.h"
#include "lycheeshunt/tickets/codec.h"
#include "lycheeshunt/tickets/ticket.h"
#include "lycheeshunt/tickets/ticket_state.h"
#include "lycheeshunt/tickets/validation.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

// A ticket that is valid must be decoded again from the log, or it would be lost.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const base::result<tickets::ticket> ticket
        = operators::ticketFromJson(std::string(fuzz::textOf(data, size)));
    if (!base::isOk(ticket)
        || !tickets::faultsOf(base::valueOf(ticket), tickets::ticket_state {}).empty())
        return 0;
    const base::result<tickets::ticket> decoded
        = tickets::decodeTicket(tickets::encodeTicket(base::valueOf(ticket)));
    fuzz::require(base::isOk(decoded) && base::valueOf(decoded) == base::valueOf(ticket));
    return 0;
}
