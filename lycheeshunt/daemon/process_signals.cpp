#include "lycheeshunt/daemon/process_signals.h"

#include <ctime>

namespace lycheeshunt::daemon {

process_signals::process_signals() : m_signals()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    sigaddset(&m_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    // A write to a connection that the peer closed returns an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
}

process_signal process_signals::wait(base::clock_time timeout) const
{
    constexpr std::int64_t millisPerSecond = 1000;
    constexpr std::int64_t nanosPerMilli = 1'000'000;
    const timespec limit {timeout.millis() / millisPerSecond,
                          timeout.millis() % millisPerSecond * nanosPerMilli};
    const int received = ::sigtimedwait(&m_signals, nullptr, &limit);
    if (received == SIGHUP)
        return process_signal::reload;
    return received == SIGTERM || received == SIGINT ? process_signal::stop : process_signal::none;
}

} // namespace lycheeshunt::daemon
