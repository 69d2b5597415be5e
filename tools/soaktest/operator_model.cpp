#include "tools/soaktest/operator_model.h"

#include "lycheeshunt/base/error_code.h"

#include <cpprest/json.h>

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

constexpr std::uint64_t operatorCount = 2;
// The first ticket, which defines the services, has number 1.
constexpr std::uint64_t firstNumber = 10;
constexpr std::uint64_t firstContestedNumber = 1'000'000;
// Operators submit a contested ticket of the same number within this time.
constexpr clock_time contestedPeriod = clock_time::ofMillis(1500);
const std::string ticketsPath = "/v1/tickets";

std::string authorOf(std::size_t index)
{
    return "operator-" + std::to_string(index + 1);
}

// The outcome is unknown or the control VM can't tell: the operator asks again.
bool isUndecided(const http_answer &answer)
{
    const std::string outcomeUnknown
        = std::to_string(static_cast<int>(base::error_code::ticketOutcomeUnknown));
    constexpr int firstServerError = 500;
    return answer.status >= firstServerError
        || answer.body.find("\"code\":" + outcomeUnknown) != std::string::npos;
}

} // namespace

std::string serviceChange(const std::string &name, const std::string &address,
                          std::uint64_t queueLength)
{
    return R"({"service":{"name":")" + name + R"(","addresses":["tcp:)" + address
        + R"("],"limits":{"queue_length":)" + std::to_string(queueLength) + "}}}";
}

std::string serviceTicket(std::uint64_t number, const std::string &author,
                          const std::string &changes)
{
    return R"({"number":)" + std::to_string(number) + R"(,"author":")" + author + R"(","changes":[)"
        + changes + "]}";
}

std::vector<observation> observationsOf(const operator_call &call, const http_answer &answer,
                                        std::uint64_t number, clock_time sentAt)
{
    constexpr int found = 200;
    constexpr int notFound = 404;
    const bool isQuery = call.request.method == "GET";
    if (answer.status == notFound && isQuery)
        return {ticket_read {number, "", 0, call.askedAt}};
    if (answer.status != found)
        return {};
    const web::json::value json = web::json::value::parse(answer.body);
    const std::string author = json.at("author").as_string();
    const std::uint64_t generation = json.at("generation").as_number().to_uint64();
    if (isQuery)
        return {ticket_read {number, author, generation, call.askedAt}};
    return {ticket_accepted {number, author, generation, sentAt}};
}

operator_model::operator_model(std::size_t index, std::size_t controls, std::uint64_t seed,
                               clock_time startedAt)
    : m_index(index), m_controls(controls), m_random(seed), m_startedAt(startedAt),
      m_nextNumber(firstNumber + index)
{
}

operator_call operator_model::nextCall(clock_time now)
{
    if (m_pending)
        return submit(*m_pending, now);
    constexpr std::uint64_t oneIn = 3;
    const std::uint64_t period
        = static_cast<std::uint64_t>((now - m_startedAt).millis() / contestedPeriod.millis());
    if (period > m_lastContested) {
        m_lastContested = period;
        const std::uint64_t number = firstContestedNumber + period;
        return submit({number, true,
                       serviceTicket(number, authorOf(m_index),
                                     serviceChange("contested", "198.51.100.1:443", m_index + 1)),
                       now},
                      now);
    }
    if (!m_accepted.empty() && m_random() % oneIn == 0) {
        const std::uint64_t number = m_accepted[m_random() % m_accepted.size()];
        return {m_random() % m_controls, {"GET", ticketsPath + "/" + std::to_string(number)}, now};
    }
    const std::uint64_t number = m_nextNumber;
    m_nextNumber += operatorCount;
    const std::string host = std::to_string(10 + m_index);
    return submit({number, false,
                   serviceTicket(number, authorOf(m_index),
                                 serviceChange("spare-" + std::to_string(m_index),
                                               "198.51.100." + host + ":443", number)),
                   now},
                  now);
}

operator_call operator_model::submit(submitted_ticket ticket, clock_time now)
{
    constexpr std::uint64_t oneIn = 6;
    m_pending = std::move(ticket);
    const bool losesResponse = m_random() % oneIn == 0;
    return {m_random() % m_controls, {"POST", ticketsPath, m_pending->body, losesResponse}, now};
}

std::vector<observation> operator_model::handle(const operator_call &call,
                                                const std::optional<http_answer> &answer)
{
    if (!answer || isUndecided(*answer))
        return {};
    if (call.request.method == "POST")
        return handleSubmission(call, *answer);
    const std::string &path = call.request.path;
    return observationsOf(call, *answer, std::stoull(path.substr(path.rfind('/') + 1)), {});
}

std::vector<observation> operator_model::handleSubmission(const operator_call &call,
                                                          const http_answer &answer)
{
    const submitted_ticket ticket = *m_pending;
    m_pending.reset();
    std::vector<observation> seen = observationsOf(call, answer, ticket.number, ticket.sentAt);
    if (seen.empty())
        return {ticket_refused {ticket.number, authorOf(m_index), answer.body, ticket.isContested}};
    m_accepted.push_back(ticket.number);
    return seen;
}

} // namespace lycheeshunt::soak
