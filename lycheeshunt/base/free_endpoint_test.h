// A port on loopback for a process that a test starts. Ports of the system's ephemeral range are
// not used: any outgoing connection may take one between the check and the start of the process.

#pragma once

#include "lycheeshunt/base/socket.h"

#include <unistd.h>

#include <atomic>

namespace lycheeshunt::base {

// Returns an address whose port was free when it was checked, another one at each call.
inline endpoint freeEndpoint()
{
    constexpr std::uint32_t loopback = 0x7f000001;
    // Below 32768, where the ephemeral range begins on Linux.
    constexpr std::uint32_t firstPort = 10'000;
    constexpr std::uint32_t portCount = 22'000;
    // Test programs that run at the same time begin at different ports.
    constexpr std::uint32_t portsPerProcess = 97;
    static std::atomic<std::uint32_t> next
        = static_cast<std::uint32_t>(::getpid()) * portsPerProcess;
    while (true) {
        const std::uint32_t port = firstPort + next++ % portCount;
        const endpoint candidate {loopback, static_cast<std::uint16_t>(port)};
        const result<file_descriptor> listener = openListener(candidate);
        const result<file_descriptor> datagrams = openDatagramSocket(candidate);
        if (isOk(listener) && isOk(datagrams))
            return candidate;
    }
}

} // namespace lycheeshunt::base
