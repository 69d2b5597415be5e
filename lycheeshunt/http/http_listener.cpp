#include "lycheeshunt/http/http_listener.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <map>
#include <mutex>
#include <optional>

namespace lycheeshunt::http {

namespace {

using web::http::http_request;

constexpr std::size_t maxPendingRequests = 64;

void replyWithError(const http_request &request, web::http::status_code status,
                    base::error_code code)
{
    const base::error failure {code, ""};
    request.reply(status,
                  "{\"faults\":[{\"code\":" + std::to_string(static_cast<int>(code))
                      + ",\"text\":\"" + failure.text() + "\"}]}",
                  "application/json");
}

} // namespace

void useThreads(std::size_t count)
{
    crossplat::threadpool::initialize_with_threads(count);
}

struct http_listener::implementation
{
    implementation(const base::endpoint &local, std::size_t maxBody, call_sink calls)
        : maxBodyBytes(maxBody), sink(std::move(calls)), listener("http://" + local.text())
    {
    }

    void handle(http_request request)
    {
        if (request.headers().content_length() > maxBodyBytes) {
            replyWithError(request, web::http::status_codes::RequestEntityTooLarge,
                           base::error_code::bodyTooLarge);
            return;
        }
        request.extract_utf8string(true).then([this, request](const pplx::task<std::string> &body) {
            try {
                // A chunked body has no Content-Length, so that its size is known only after it is
                // read.
                if (body.get().size() > maxBodyBytes)
                    replyWithError(request, web::http::status_codes::RequestEntityTooLarge,
                                   base::error_code::bodyTooLarge);
                else
                    dispatch(request, body.get());
            } catch (const std::exception &) {
                replyWithError(request, web::http::status_codes::BadRequest,
                               base::error_code::requestMalformed);
            }
        });
    }

    void dispatch(const http_request &request, const std::string &body)
    {
        const base::request_id id = addPending(request);
        const web::uri requestUri = request.relative_uri();
        std::string authorization;
        request.headers().match("Authorization", authorization);
        const http_call call {id,   request.method(),   requestUri.path(),
                              body, requestUri.query(), authorization};
        if (id != base::request_id() && sink(call))
            return;
        removePending(id);
        replyWithError(request, web::http::status_codes::ServiceUnavailable,
                       base::error_code::tooBusy);
    }

    base::request_id addPending(const http_request &request)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (pendingRequests.size() >= maxPendingRequests)
            return base::request_id();
        const base::request_id id(++lastRequest);
        pendingRequests.emplace(id, request);
        return id;
    }

    std::optional<http_request> removePending(base::request_id id)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto found = pendingRequests.find(id);
        if (found == pendingRequests.end())
            return std::nullopt;
        std::optional<http_request> request = found->second;
        pendingRequests.erase(found);
        return request;
    }

    const std::size_t maxBodyBytes;
    const call_sink sink;
    std::mutex mutex;
    std::uint64_t lastRequest = 0;
    std::map<base::request_id, http_request> pendingRequests;
    web::http::experimental::listener::http_listener listener;
};

base::result<std::unique_ptr<http_listener>>
http_listener::open(const base::endpoint &local, std::size_t maxBodyBytes, call_sink sink)
{
    try {
        std::unique_ptr<implementation> state
            = std::make_unique<implementation>(local, maxBodyBytes, std::move(sink));
        implementation *raw = state.get();
        state->listener.support([raw](const http_request &request) { raw->handle(request); });
        state->listener.open().wait();
        return std::unique_ptr<http_listener>(new http_listener(std::move(state)));
    } catch (const std::exception &failure) {
        return base::error {base::error_code::socketFailed,
                            "listen on " + local.text() + ": " + failure.what()};
    }
}

http_listener::http_listener(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

http_listener::~http_listener()
{
    try {
        m_implementation->listener.close().wait();
    } catch (const std::exception &) {
        // The process is stopping, so a failure to close the listener has no effect.
        return;
    }
}

void http_listener::answer(const http_answer &answer)
{
    const std::optional<http_request> request = m_implementation->removePending(answer.request);
    if (!request)
        return;
    web::http::http_response response(static_cast<web::http::status_code>(answer.status));
    if (!answer.location.empty())
        response.headers().add("Location", answer.location);
    response.set_body(answer.body, "application/json");
    request->reply(response);
}

} // namespace lycheeshunt::http
