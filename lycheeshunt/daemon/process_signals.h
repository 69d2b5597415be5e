// Waits for the signals that stop or reload the process, on a single thread.
//
//     process_signals signals;                 // first of all, before any thread starts
//     while (signals.wait(timeout) != process_signal::stop) ...

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <csignal>

namespace lycheeshunt::daemon {

enum class process_signal { none, stop, reload };

class process_signals
{
public:
    // Blocks the signals in this thread and in the threads that it starts.
    process_signals();

    // Returns the next signal, or none when the timeout expires.
    process_signal wait(base::clock_time timeout) const;

private:
    sigset_t m_signals;
};

} // namespace lycheeshunt::daemon
