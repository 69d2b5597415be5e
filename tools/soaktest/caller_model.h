// Callers with flows that stay open for many requests and flows that end after a few. A request is
// sent again every 200 ms until it is answered; an opening packet after 200 and 600 ms, and the
// caller gives up 1,400 ms after the first (docs/design/hard-load.md).

#pragma once

#include "tools/soaktest/caller_flow.h"
#include "tools/soaktest/stand_in_output.h"

#include <map>
#include <random>

namespace lycheeshunt::soak {

struct tcp_segment;

class caller_model
{
public:
    caller_model(std::vector<base::endpoint> addresses, std::uint64_t seed);

    stand_in_output receive(const std::string &packet, base::clock_time now);
    // Opens new flows, sends what is due, and sends again what is unanswered.
    stand_in_output tick(base::clock_time now);

    // No new flows; open flows end after their next answer.
    void finish();
    std::size_t openFlows() const { return m_flows.size(); }
    std::uint64_t answers() const { return m_answers; }
    // The flows that still wait for an answer.
    std::vector<observation> unanswered() const;

private:
    void open(int requestLimit, base::clock_time now, stand_in_output &output);
    void request(caller_flow &flow, base::clock_time now, stand_in_output &output);
    void close(caller_flow &flow, base::clock_time now, stand_in_output &output);
    void proceed(caller_flow &flow, base::clock_time now, stand_in_output &output);
    void repeat(caller_flow &flow, base::clock_time now, stand_in_output &output);
    void send(caller_flow &flow, const tcp_segment &segment, base::clock_time now,
              stand_in_output &output);
    static void reset(caller_flow &flow, stand_in_output &output);

    const std::vector<base::endpoint> m_addresses;
    std::mt19937_64 m_random;
    std::map<base::flow_key, caller_flow> m_flows;
    std::uint64_t m_opened = 0;
    std::uint64_t m_answers = 0;
    std::size_t m_longFlows = 0;
    base::clock_time m_nextShortAt;
    bool m_isFinishing = false;
};

} // namespace lycheeshunt::soak
