#include "lycheeshunt/http/internal/pending_requests.h"

namespace lycheeshunt::http {

namespace {

constexpr std::size_t maxPendingRequests = 64;

} // namespace

base::request_id pending_calls::implementation::add(const web::http::http_request &request)
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (requests.size() >= maxPendingRequests)
        return base::request_id();
    const base::request_id id(++lastRequest);
    requests.emplace(id, request);
    return id;
}

std::optional<web::http::http_request> pending_calls::implementation::remove(base::request_id id)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = requests.find(id);
    if (found == requests.end())
        return std::nullopt;
    std::optional<web::http::http_request> request = found->second;
    requests.erase(found);
    return request;
}

pending_calls::pending_calls() : m_implementation(std::make_unique<implementation>()) { }

pending_calls::~pending_calls() = default;

void pending_calls::answer(const http_answer &answer)
{
    const std::optional<web::http::http_request> request = m_implementation->remove(answer.request);
    if (!request)
        return;
    web::http::http_response response(static_cast<web::http::status_code>(answer.status));
    if (!answer.location.empty())
        response.headers().add("Location", answer.location);
    response.set_body(answer.body, "application/json");
    try {
        request->reply(response);
    } catch (const web::http::http_exception &) {
        // A listener that closes answers its pending requests itself.
        return;
    }
}

} // namespace lycheeshunt::http
