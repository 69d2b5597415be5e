// An operator of the product: submits tickets, sends one again until its outcome is known, and
// reads earlier ones. Some tickets have a number and an object that all operators use.

#pragma once

#include "tools/soaktest/http_answer.h"
#include "tools/soaktest/observation.h"
#include "tools/soaktest/operator_call.h"
#include "tools/soaktest/submitted_ticket.h"

#include <optional>
#include <random>
#include <vector>

namespace lycheeshunt::soak {

class operator_model
{
public:
    // Operators are numbered from 0. `startedAt` is the same for all of them.
    operator_model(std::size_t index, std::size_t controls, std::uint64_t seed,
                   base::clock_time startedAt);

    operator_call nextCall(base::clock_time now);
    std::vector<observation> handle(const operator_call &call,
                                    const std::optional<http_answer> &answer);

    // Numbers of the tickets that were accepted.
    const std::vector<std::uint64_t> &accepted() const { return m_accepted; }

private:
    operator_call submit(submitted_ticket ticket, base::clock_time now);
    std::vector<observation> handleSubmission(const operator_call &call, const http_answer &answer);

    const std::size_t m_index;
    const std::size_t m_controls;
    std::mt19937_64 m_random;
    const base::clock_time m_startedAt;
    std::uint64_t m_nextNumber;
    std::uint64_t m_lastContested = 0;
    std::optional<submitted_ticket> m_pending;
    std::vector<std::uint64_t> m_accepted;
};

// Used for the first ticket and the last look at each control VM, too.
std::string serviceTicket(std::uint64_t number, const std::string &author,
                          const std::string &changes);
std::string serviceChange(const std::string &name, const std::string &address,
                          std::uint64_t queueLength);
// An answer to a submission or a query; nothing if it gives no outcome.
std::vector<observation> observationsOf(const operator_call &call, const http_answer &answer,
                                        std::uint64_t number, base::clock_time sentAt);

} // namespace lycheeshunt::soak
