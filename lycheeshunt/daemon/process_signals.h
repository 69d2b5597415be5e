// The signals that a process is driven by, taken by one thread alone.
//
//     process_signals signals;                 // first of all, before any thread starts
//     while (signals.wait(span) != process_signal::stop) ...

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <csignal>

namespace lycheeshunt::daemon {

enum class process_signal { none, stop, reload };

class process_signals
{
public:
    // Blocks the signals in this thread and in those that it starts.
    process_signals();

    // The next signal, or none after the span.
    process_signal wait(base::clock_time span) const;

private:
    sigset_t m_signals;
};

} // namespace lycheeshunt::daemon
