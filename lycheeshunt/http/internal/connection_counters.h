// Counters of all listeners of the process. Like the log, they have one instance, so that a
// listener needs no owner that reports for it. Thread-safe.

#pragma once

#include "lycheeshunt/http/connection_counts.h"
#include "lycheeshunt/http/internal/connection_action.h"

#include <mutex>

namespace lycheeshunt::http::internal {

class connection_counters
{
public:
    static connection_counters &ofProcess();

    void countOpened();
    void countEnded();
    void count(const connection_action &action);
    connection_counts read() const;

private:
    connection_counters();

    mutable std::mutex m_mutex;
    std::uint64_t m_open = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0;
    std::map<std::string, std::uint64_t> m_evicted;
    std::map<std::string, std::uint64_t> m_timedOut;
};

} // namespace lycheeshunt::http::internal
