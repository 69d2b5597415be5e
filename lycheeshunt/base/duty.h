// The thread of one duty: takes messages from its bounded ring one by one and handles them. With
// a tick, that message is handled too at every interval, also while no other message comes.
//
//     duty<ticket_message> tickets(capacity, [&](const ticket_message &message, clock_time now) {
//         ...
//     });
//     tickets.inbox().push(message);
//
// The handler runs on the duty's thread alone, so what it captures needs no lock.

#pragma once

#include "lycheeshunt/base/ring.h"

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

    duty(std::size_t capacity, clock_time tickEvery, message_type tick, handler handle)
        : m_handle(std::move(handle)), m_tickEvery(tickEvery), m_tick(std::move(tick)),
          m_inbox(capacity), m_thread([this]() { runTicking(); })
    {
    }

    ~duty() { stop(); }

    duty(const duty &) = delete;
    duty &operator=(const duty &) = delete;

    ring<message_type> &inbox() { return m_inbox; }

    // Ends the thread; messages left in the ring are discarded, later ones refused. Call it before
    // destroying anything that the handler uses. May be called again, from one thread.
    void stop()
    {
        m_inbox.close();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void run()
    {
        while (!m_inbox.isClosed()) {
            if (const std::optional<message_type> message = m_inbox.pop())
                m_handle(*message, clock_time::steady());
        }
    }

    void runTicking()
    {
        clock_time nextTick = clock_time::steady() + m_tickEvery;
        while (!m_inbox.isClosed()) {
            const clock_time wait = nextTick - clock_time::steady();
            const std::optional<message_type> message
                = m_inbox.popFor(std::max(wait, clock_time()));
            const clock_time now = clock_time::steady();
            if (message)
                m_handle(*message, now);
            if (now >= nextTick) {
                nextTick = now + m_tickEvery;
                m_handle(*m_tick, now);
            }
        }
    }

    const handler m_handle;
    const clock_time m_tickEvery;
    const std::optional<message_type> m_tick;
    ring<message_type> m_inbox;
    std::thread m_thread;
};

} // namespace lycheeshunt::base
