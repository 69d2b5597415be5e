// One caller's connection in the tests of the flow decisions: it repeats what is not answered, as
// TCP does, and notes how the connection fared.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <string>

namespace lycheeshunt::flows {

struct fake_caller
{
    enum class fate { opening, open, refused, broken, silent, closed };
    enum class packet { first, data, last };

    fate state = fate::opening;
    packet waitingFor = packet::first;
    bool waits = false;
    int tries = 0;
    base::clock_time retryAt = {};
    // The server that answered first.
    std::string server = {};
    // Another server has answered too.
    bool split = false;
    std::size_t answers = 0;

    void begin(packet what, base::clock_time now)
    {
        waitingFor = what;
        waits = true;
        tries = 0;
        retryAt = now;
    }

    packets::ip_summary summary(const base::flow_key &key) const
    {
        return packets::ip_summary {key, waitingFor == packet::first, waitingFor == packet::last,
                                    false, 0};
    }

    // Whether a packet is to be sent now. The caller gives up after some attempts.
    bool isDue(base::clock_time now)
    {
        constexpr int maxTries = 7;
        constexpr base::clock_time firstRetry = base::clock_time::ofMillis(300);
        if (!waits || retryAt > now)
            return false;
        if (tries >= maxTries) {
            state = fate::silent;
            waits = false;
            return false;
        }
        retryAt = now + firstRetry * (std::int64_t(1) << tries);
        ++tries;
        return true;
    }

    void onAnswer(const std::string &from)
    {
        split = split || (!server.empty() && server != from);
        if (server.empty())
            server = from;
        ++answers;
        if (state == fate::opening)
            state = fate::open;
        else if (waits && waitingFor == packet::last && state == fate::open)
            state = fate::closed;
        waits = false;
    }

    void onReset()
    {
        if (state == fate::opening)
            state = fate::refused;
        else if (state == fate::open)
            state = fate::broken;
        waits = false;
    }
};

} // namespace lycheeshunt::flows
