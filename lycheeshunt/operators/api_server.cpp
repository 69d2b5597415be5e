#include "lycheeshunt/operators/api_server.h"

#include "lycheeshunt/operators/json.h"

#include <cpprest/http_listener.h>

#include <map>
#include <mutex>

namespace lycheeshunt::operators {

namespace {

using web::http::http_request;

constexpr std::uint64_t maxBodyBytes = 1024 * 1024;
constexpr std::size_t maxUnderWay = 64;

void refuse(const http_request &request, web::http::status_code status, base::error_code code)
{
    const base::error failure {code, ""};
    request.reply(status, refusalJson(tickets::ticket_refusal {{failure}}), "application/json");
}

} // namespace

struct api_server::implementation
{
    implementation(const base::endpoint &local, base::ring<operator_message> &ring)
        : inbox(ring), listener("http://" + local.text())
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
        const http_arrived arrived {id,   request.method(), address.path(),
                                    body, address.query(),  authorization};
        if (id != base::request_id() && inbox.tryPush(arrived))
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

    base::ring<operator_message> &inbox;
    std::mutex mutex;
    std::uint64_t lastRequest = 0;
    std::map<base::request_id, http_request> underWay;
    web::http::experimental::listener::http_listener listener;
};

base::result<std::unique_ptr<api_server>> api_server::open(const base::endpoint &local,
                                                           base::ring<operator_message> &inbox)
{
    try {
        std::unique_ptr<implementation> hidden = std::make_unique<implementation>(local, inbox);
        implementation *raw = hidden.get();
        hidden->listener.support([raw](const http_request &request) { raw->take(request); });
        hidden->listener.open().wait();
        return std::unique_ptr<api_server>(new api_server(std::move(hidden)));
    } catch (const std::exception &failure) {
        return base::error {base::error_code::socketFailed,
                            "listen on " + local.text() + ": " + failure.what()};
    }
}

api_server::api_server(std::unique_ptr<implementation> hidden) : m_hidden(std::move(hidden)) { }

api_server::~api_server()
{
    try {
        m_hidden->listener.close().wait();
    } catch (const std::exception &) {
        // The process is stopping; a listener that fails to close changes nothing.
        return;
    }
}

void api_server::reply(const http_reply &reply)
{
    const std::optional<http_request> request = m_hidden->forget(reply.request);
    if (!request)
        return;
    web::http::http_response response(static_cast<web::http::status_code>(reply.status));
    response.set_body(reply.body, "application/json");
    request->reply(response);
}

} // namespace lycheeshunt::operators
