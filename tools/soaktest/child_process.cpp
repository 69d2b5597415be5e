#include "tools/soaktest/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace lycheeshunt::soak {

namespace {

int signalOf(process_change change)
{
    switch (change) {
    case process_change::stop:
        return SIGTERM;
    case process_change::pause:
        return SIGSTOP;
    case process_change::resume:
        return SIGCONT;
    default:
        return SIGKILL;
    }
}

} // namespace

child_process::child_process(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    m_process = ::fork();
    if (m_process < 0)
        throw std::runtime_error("can't start a process");
    if (m_process > 0)
        return;
    // Between fork and exec only async-signal-safe functions may be called.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr mode_t logMode = 0644;
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    constexpr int startFailed = 127;
    if (log < 0 || ::getppid() != parent)
        ::_exit(startFailed);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(startFailed);
}

child_process::~child_process()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void child_process::signal(process_change change)
{
    m_isEnding = m_isEnding || change == process_change::stop || change == process_change::kill;
    if (m_process > 0)
        ::kill(m_process, signalOf(change));
}

std::optional<int> child_process::reap()
{
    int status = 0;
    if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process)
        return std::nullopt;
    m_process = 0;
    return status;
}

} // namespace lycheeshunt::soak
