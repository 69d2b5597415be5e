// A caller's connection in the tests of the flow decisions: retransmits unanswered packets, as TCP
// does, and keeps the state of the connection.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <string>

namespace lycheeshunt::flows {

struct fake_caller
{
    enum class connection_state { opening, open, refused, broken, silent, closed };
    enum class packet { first, data, last };

    connection_state state = connection_state::opening;
    packet waitingFor = packet::first;
    bool isWaiting = false;
    int attempts = 0;
    base::clock_time retryAt = {};
    // The server that answered first.
    std::string server = {};
    // Another server has answered too.
    bool split = false;
    std::size_t answers = 0;

    void startSending(packet sent, base::clock_time now)
    {
        waitingFor = sent;
        isWaiting = true;
        attempts = 0;
        retryAt = now;
    }

    packets::ip_summary summary(const base::flow_key &key) const
    {
        return packets::ip_summary {key, waitingFor == packet::first, waitingFor == packet::last,
                                    false, 0};
    }

    // Whether a packet is to be sent now. After the last attempt the connection is silent.
    bool isDue(base::clock_time now)
    {
        constexpr int maxAttempts = 7;
        constexpr base::clock_time firstRetry = base::clock_time::ofMillis(300);
        if (!isWaiting || retryAt > now)
            return false;
        if (attempts >= maxAttempts) {
            state = connection_state::silent;
            isWaiting = false;
            return false;
        }
        retryAt = now + firstRetry * (std::int64_t(1) << attempts);
        ++attempts;
        return true;
    }

    void handleAnswer(const std::string &from)
    {
        split = split || (!server.empty() && server != from);
        if (server.empty())
            server = from;
        ++answers;
        if (state == connection_state::opening)
            state = connection_state::open;
        else if (isWaiting && waitingFor == packet::last && state == connection_state::open)
            state = connection_state::closed;
        isWaiting = false;
    }

    void handleReset()
    {
        if (state == connection_state::opening)
            state = connection_state::refused;
        else if (state == connection_state::open)
            state = connection_state::broken;
        isWaiting = false;
    }
};

} // namespace lycheeshunt::flows
