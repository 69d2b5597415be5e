// The numbered error codes. docs/ERRORS.md lists them, and a test checks that both agree.
// Each slice has a range of 100 numbers.

#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace lycheeshunt::base {

enum class error_code : std::uint16_t {
    // settings
    settingsUnreadable = 101,
    settingsSyntax = 102,
    settingsUnknownKey = 103,
    settingsWrongType = 104,
    settingsMissingKey = 105,
    settingsBadValue = 106,
    settingsClash = 107,
    // packets and codecs
    packetTruncated = 201,
    packetUnsupported = 202,
    messageMalformed = 203,
    messageTooLarge = 204,
    messageVersion = 205,
    // routing and flows
    noSuchAddress = 301,
    noServer = 302,
    wrongService = 303,
    wrongIncarnation = 304,
    tooManyHops = 305,
    flowUnknown = 306,
    flowTableFull = 307,
    serverDraining = 308,
    tooManyLookups = 309,
    agentNotReady = 310,
    // admission and requests
    queueFull = 401,
    waitTooLong = 402,
    slotsHeldByLongWork = 403,
    queueWaitExceeded = 404,
    deadlinePassed = 405,
    workCancelled = 406,
    serverShedding = 407,
    outcomeUnknown = 408,
    startDenied = 409,
    // membership
    announcedServiceMismatch = 501,
    // tickets
    ticketMalformed = 601,
    ticketNumberTaken = 602,
    ticketAddressClash = 603,
    ticketUnknown = 604,
    ticketBadField = 605,
    ticketOutOfOrder = 606,
    ticketDuplicate = 607,
    ticketTooLarge = 608,
    ticketBucketsFixed = 609,
    ticketServiceUnknown = 610,
    ticketOutcomeUnknown = 611,
    // replication and storage
    logCorrupt = 701,
    storageFailed = 702,
    notLeader = 703,
    quorumLost = 704,
    tooBusy = 705,
    diskFull = 706,
    stateUndecodable = 707,
    // dissemination
    notInForce = 801,
    viewMismatch = 802,
    // operators
    requestMalformed = 901,
    notAuthorized = 902,
    bodyTooLarge = 903,
    noSuchResource = 904,
    controlUnreachable = 905,
    tokenFileUnsafe = 906,
    // network
    socketFailed = 1001,
    // any thread
    unexpectedError = 1002,
};

// Returns a one-line description for people, without a full stop.
std::string_view describe(error_code code);

// Returns every code in ascending order.
std::span<const error_code> allErrorCodes();

} // namespace lycheeshunt::base
