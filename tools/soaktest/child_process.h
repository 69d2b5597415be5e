// A process that the soak started. It is ended by its process ID only, and with the soak at the
// latest.

#pragma once

#include "tools/soaktest/process_change.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace lycheeshunt::soak {

class child_process
{
public:
    // Appends standard output and standard error to the file.
    child_process(const std::vector<std::string> &command, const std::string &logFile);
    ~child_process();

    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(process_change change);
    // A stop or kill was sent.
    bool isEnding() const { return m_isEnding; }
    // The status as waitpid() gives it, once the process has ended.
    std::optional<int> reap();

private:
    pid_t m_process;
    bool m_isEnding = false;
};

} // namespace lycheeshunt::soak
