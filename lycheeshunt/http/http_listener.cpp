#include "lycheeshunt/http/http_listener.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <map>
#include <mutex>
#include <optional>

namespace lycheeshunt::http {

namespace {

using web::http::http_request;

constexpr std::size_t maxUnderWay = 64;

void refuse(const http_request &request, web::http::status_code status, base::error_code code)
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

    void take(http_request request)
    {
        if (request.headers().content_length() > maxBodyBytes) {
            refuse(request, web::http::status_codes::RequestEntityTooLarge,
                   base::error_code::bodyTooLarge);
            return;
        }
        request.extract_utf8string(true).then([this, request](const pplx::task<std::string> &body) {
            try {
                // A body in chunks does not tell its length beforehand.
                if (body.get().size() > maxBodyBytes)
                    refuse(request, web::http::status_codes::RequestEntityTooLarge,
                           base::error_code::bodyTooLarge);
                else
                    pass(request, body.get());
            } catch (const std::exception &) {
                refuse(request, web::http::status_codes::BadRequest,
                       base::error_code::requestMalformed);
            }
        });
    }

    void pass(const http_request &request, const std::string &body)
    {
        const base::request_id id = remember(request);
        const web::uri address = request.relative_uri();
        std::string authorization;
        request.headers().match("Authorization", authorization);
        const http_call call {id,   request.method(), address.path(),
                              body, address.query(),  authorization};
        if (id != base::request_id() && sink(call))
            return;
        forget(id);
        refuse(request, web::http::status_codes::ServiceUnavailable, base::error_code::tooBusy);
    }

    base::request_id remember(const http_request &request)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (underWay.size() >= maxUnderWay)
            return base::request_id();
        const base::request_id id(++lastRequest);
        underWay.emplace(id, request);
        return id;
    }

    std::optional<http_request> forget(base::request_id id)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto found = underWay.find(id);
        if (found == underWay.end())
            return std::nullopt;
        std::optional<http_request> request = found->second;
        underWay.erase(found);
        return request;
    }

    const std::size_t maxBodyBytes;
    const call_sink sink;
    std::mutex mutex;
    std::uint64_t lastRequest = 0;
    std::map<base::request_id, http_request> underWay;
    web::http::experimental::listener::http_listener listener;
};

base::result<std::unique_ptr<http_listener>>
http_listener::open(const base::endpoint &local, std::size_t maxBodyBytes, call_sink sink)
{
    try {
        std::unique_ptr<implementation> hidden
            = std::make_unique<implementation>(local, maxBodyBytes, std::move(sink));
        implementation *raw = hidden.get();
        hidden->listener.support([raw](const http_request &request) { raw->take(request); });
        hidden->listener.open().wait();
        return std::unique_ptr<http_listener>(new http_listener(std::move(hidden)));
    } catch (const std::exception &failure) {
        return base::error {base::error_code::socketFailed,
                            "listen on " + local.text() + ": " + failure.what()};
    }
}

http_listener::http_listener(std::unique_ptr<implementation> hidden) : m_hidden(std::move(hidden))
{
}

http_listener::~http_listener()
{
    try {
        m_hidden->listener.close().wait();
    } catch (const std::exception &) {
        // The process is stopping; a listener that fails to close changes nothing.
        return;
    }
}

void http_listener::answer(const http_answer &answer)
{
    const std::optional<http_request> request = m_hidden->forget(answer.request);
    if (!request)
        return;
    web::http::http_response response(static_cast<web::http::status_code>(answer.status));
    if (!answer.location.empty())
        response.headers().add("Location", answer.location);
    response.set_body(answer.body, "application/json");
    request->reply(response);
}

} // namespace lycheeshunt::http
