#include "lycheeshunt/base/error_code.h"

#include <algorithm>
#include <array>

namespace lycheeshunt::base {

namespace {

struct described_code
{
    error_code code;
    std::string_view text;
};

constexpr described_code table[] = {
    {error_code::settingsUnreadable, "settings file can't be read"},
    {error_code::settingsSyntax, "settings file is not valid TOML"},
    {error_code::settingsUnknownKey, "unknown key in settings"},
    {error_code::settingsWrongType, "value of the wrong type in settings"},
    {error_code::settingsMissingKey, "required key missing in settings"},
    {error_code::settingsBadValue, "value out of range in settings"},
    {error_code::settingsClash, "two settings contradict each other"},
    {error_code::packetTruncated, "packet shorter than its headers say"},
    {error_code::packetUnsupported, "packet of an unsupported kind"},
    {error_code::messageMalformed, "message can't be decoded"},
    {error_code::messageTooLarge, "message larger than its bound"},
    {error_code::messageVersion, "message of an unknown version"},
    {error_code::noSuchAddress, "no service at this address"},
    {error_code::noServer, "service has no backend server"},
    {error_code::wrongService, "packet for another service"},
    {error_code::wrongIncarnation, "packet for another incarnation"},
    {error_code::tooManyHops, "packet passed through too many agents"},
    {error_code::flowUnknown, "no agent knows this flow"},
    {error_code::flowTableFull, "flow table is full"},
    {error_code::serverDraining, "backend server is draining"},
    {error_code::tooManyLookups, "too many packets wait for a lookup"},
    {error_code::agentNotReady, "agent has not learned of its service yet"},
    {error_code::queueFull, "admission queue is full"},
    {error_code::waitTooLong, "expected wait exceeds its bound"},
    {error_code::slotsHeldByLongWork, "long work holds every slot"},
    {error_code::queueWaitExceeded, "work waited too long for a slot"},
    {error_code::deadlinePassed, "deadline passed before the hand-over"},
    {error_code::workCancelled, "cancelled before the hand-over"},
    {error_code::serverShedding, "backend server sheds load"},
    {error_code::outcomeUnknown, "request may have run, its outcome is unknown"},
    {error_code::startDenied, "request was started or ended elsewhere"},
    {error_code::announcedServiceMismatch, "backend server announces another service"},
    {error_code::ticketMalformed, "ticket can't be decoded"},
    {error_code::ticketNumberTaken, "ticket number already holds other content"},
    {error_code::ticketAddressClash, "address belongs to another service"},
    {error_code::ticketUnknown, "no such ticket"},
    {error_code::ticketBadField, "ticket field out of range"},
    {error_code::ticketOutOfOrder, "a later ticket has changed the same object"},
    {error_code::ticketDuplicate, "ticket names the same thing twice"},
    {error_code::ticketTooLarge, "ticket holds too many changes"},
    {error_code::ticketBucketsFixed, "buckets of a service can't be changed"},
    {error_code::ticketServiceUnknown, "no such service to remove"},
    {error_code::ticketOutcomeUnknown, "ticket may or may not be accepted; send it again"},
    {error_code::logCorrupt, "log record fails its checksum"},
    {error_code::storageFailed, "write or sync to disk failed"},
    {error_code::notLeader, "this control VM is not the leader"},
    {error_code::quorumLost, "no quorum of control VMs"},
    {error_code::tooBusy, "too many requests under way"},
    {error_code::diskFull, "no room left on the disk"},
    {error_code::stateUndecodable, "newest desired state can't be decoded by this VM"},
    {error_code::notInForce, "not yet in force on every VM"},
    {error_code::viewMismatch, "view differs from the one that control holds"},
    {error_code::requestMalformed, "request can't be decoded"},
    {error_code::notAuthorized, "token missing or wrong"},
    {error_code::bodyTooLarge, "request body too large"},
    {error_code::noSuchResource, "no such resource"},
    {error_code::controlUnreachable, "control VM can't be reached"},
    {error_code::tokenFileUnsafe, "token file missing, empty or open to other users"},
    {error_code::socketFailed, "socket operation failed"},
    {error_code::unexpectedError, "unexpected error, one message was dropped"},
};

} // namespace

std::string_view describe(error_code code)
{
    const auto found = std::find_if(std::begin(table), std::end(table),
                                    [code](const described_code &row) { return row.code == code; });
    return found == std::end(table) ? "unknown code" : found->text;
}

std::span<const error_code> allErrorCodes()
{
    static const std::array<error_code, std::size(table)> codes = []() {
        std::array<error_code, std::size(table)> all {};
        std::transform(std::begin(table), std::end(table), all.begin(),
                       [](const described_code &row) { return row.code; });
        return all;
    }();
    return codes;
}

} // namespace lycheeshunt::base
