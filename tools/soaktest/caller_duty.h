// The thread of the stand-in callers and of the fabric, which delivers each packet to any entry
// whose port is open.

#pragma once

#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/ring.h"
#include "tools/soaktest/caller_model.h"
#include "tools/soaktest/event_sink.h"

#include <atomic>
#include <thread>

namespace lycheeshunt::soak {

class caller_duty
{
public:
    // Packets to callers arrive at `socket`.
    caller_duty(base::file_descriptor socket, const std::vector<base::endpoint> &entries,
                caller_model model, std::uint64_t seed, event_sink sink);
    ~caller_duty();

    // See caller_model::finish(). Once openFlows() is 0, all flows have ended.
    void finish();
    // Reports the flows that still wait for an answer.
    void reportUnanswered();
    std::size_t openFlows() const { return m_openFlows; }
    std::uint64_t answers() const { return m_answers; }

private:
    enum class command { finish, reportUnanswered };

    void run();
    void handle(const stand_in_output &output);
    void send(const std::string &packet);

    struct entry_link
    {
        base::file_descriptor socket;
        base::clock_time downUntil;
    };

    const base::file_descriptor m_socket;
    std::vector<entry_link> m_entries;
    caller_model m_model;
    std::mt19937_64 m_random;
    const event_sink m_sink;
    std::atomic<std::size_t> m_openFlows = 0;
    std::atomic<std::uint64_t> m_answers = 0;
    base::ring<command> m_inbox {4};
    std::thread m_thread;
};

} // namespace lycheeshunt::soak
