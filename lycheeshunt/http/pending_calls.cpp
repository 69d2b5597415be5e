#include "lycheeshunt/http/internal/pending_requests.h"

namespace lycheeshunt::http {

namespace {

constexpr std::size_t maxPendingRequests = 64;

} // namespace

base::request_id pending_calls::implementation::add(reply send)
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (requests.size() >= maxPendingRequests)
        return base::request_id();
    const base::request_id id(++lastRequest);
    requests.emplace(id, std::move(send));
    return id;
}

std::optional<pending_calls::implementation::reply>
pending_calls::implementation::remove(base::request_id id)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = requests.find(id);
    if (found == requests.end())
        return std::nullopt;
    std::optional<reply> send(std::move(found->second));
    requests.erase(found);
    return send;
}

pending_calls::pending_calls() : m_implementation(std::make_unique<implementation>()) { }

pending_calls::~pending_calls() = default;

void pending_calls::answer(const http_answer &answer)
{
    if (const std::optional<implementation::reply> send = m_implementation->remove(answer.request))
        (*send)(answer);
}

} // namespace lycheeshunt::http
