// The thread of one duty: pops messages from its bounded ring and handles them one at a time. With
// a tick message, the handler is also called with it once per interval, even if no other message
// arrives. Between two ticks all messages are handled that waited when the first one ended.
//
//     duty<ticket_message> tickets(capacity, [&](const ticket_message &message, clock_time now) {
//         ...
//     });
//     tickets.inbox().push(message);
//
// The handler runs only on the duty's thread, so state that only the handler accesses needs no
// lock. An exception in it ends the handling of that message alone.

#pragma once

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/base/tick_schedule.h"

#include <functional>
#include <thread>

namespace lycheeshunt::base {

template <typename message_type>
class duty
{
public:
    using handler = std::function<void(const message_type &, clock_time)>;

    duty(std::size_t capacity, handler handle)
        : m_handle(std::move(handle)), m_inbox(capacity), m_thread([this]() { run(); })
    {
    }

    duty(std::size_t capacity, clock_time tickInterval, message_type tick, handler handle)
        : m_handle(std::move(handle)), m_tickInterval(tickInterval), m_tick(std::move(tick)),
          m_inbox(capacity), m_thread([this]() { runTicking(); })
    {
    }

    ~duty() { stop(); }

    duty(const duty &) = delete;
    duty &operator=(const duty &) = delete;

    ring<message_type> &inbox() { return m_inbox; }

    // Stops and joins the thread. Messages left in the ring are discarded, later ones are rejected.
    // Call it before destroying anything that the handler uses. Idempotent; not thread-safe.
    void stop()
    {
        m_inbox.close();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void handle(const message_type &message, clock_time now)
    {
        runGuarded("duty", [&]() { m_handle(message, now); });
    }

    void run()
    {
        while (!m_inbox.isClosed()) {
            if (const std::optional<message_type> message = m_inbox.pop())
                handle(*message, clock_time::steady());
        }
    }

    void runTicking()
    {
        tick_schedule ticks(m_tickInterval, clock_time::steady() + m_tickInterval);
        while (!m_inbox.isClosed()) {
            const std::optional<message_type> message
                = m_inbox.popFor(ticks.waitAt(clock_time::steady()));
            ticks.noteMessage(message.has_value());
            const clock_time now = clock_time::steady();
            if (message)
                handle(*message, now);
            if (ticks.isDue(now)) {
                handle(*m_tick, now);
                ticks.noteTick(now, m_inbox.depth());
            }
        }
    }

    const handler m_handle;
    const clock_time m_tickInterval;
    const std::optional<message_type> m_tick;
    ring<message_type> m_inbox;
    std::thread m_thread;
};

} // namespace lycheeshunt::base
