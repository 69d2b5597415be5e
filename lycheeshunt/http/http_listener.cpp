#include "lycheeshunt/http/http_listener.h"

#include "lycheeshunt/http/internal/pending_requests.h"

#include <pplx/threadpool.h>

#include <shared_mutex>

namespace lycheeshunt::http {

namespace {

using web::http::http_request;

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

// The library's threads may finish a call after the listener is closed, so each call keeps it.
struct http_listener::implementation : std::enable_shared_from_this<implementation>
{
    implementation(const base::endpoint &local, std::size_t maxBody,
                   std::shared_ptr<pending_calls> pending, call_sink callSink)
        : maxBodyBytes(maxBody), calls(std::move(pending)), sink(std::move(callSink)),
          listener("http://" + local.text())
    {
    }

    void handle(http_request request)
    {
        if (request.headers().content_length() > maxBodyBytes) {
            replyWithError(request, web::http::status_codes::RequestEntityTooLarge,
                           base::error_code::bodyTooLarge);
            return;
        }
        request.extract_utf8string(true).then(
            [self = shared_from_this(), request](const pplx::task<std::string> &body) {
                try {
                    // A chunked body has no Content-Length, so that its size is known only after it
                    // is read.
                    if (body.get().size() > self->maxBodyBytes)
                        replyWithError(request, web::http::status_codes::RequestEntityTooLarge,
                                       base::error_code::bodyTooLarge);
                    else
                        self->dispatch(request, body.get());
                } catch (const std::exception &) {
                    replyWithError(request, web::http::status_codes::BadRequest,
                                   base::error_code::requestMalformed);
                }
            });
    }

    void dispatch(const http_request &request, const std::string &body)
    {
        const std::shared_lock<std::shared_mutex> sinkInUse(sinkMutex);
        // The library has answered the call when the listener closed.
        if (isClosed)
            return;
        const base::request_id id = calls->m_implementation->add(request);
        const web::uri requestUri = request.relative_uri();
        std::string authorization;
        request.headers().match("Authorization", authorization);
        const http_call call {id,   request.method(),   requestUri.path(),
                              body, requestUri.query(), authorization};
        if (id != base::request_id() && sink(call))
            return;
        calls->m_implementation->remove(id);
        replyWithError(request, web::http::status_codes::ServiceUnavailable,
                       base::error_code::tooBusy);
    }

    // Returns once no thread is in the sink, and none enters it any more.
    void close()
    {
        try {
            listener.close().wait();
        } catch (const std::exception &) {
            // The process is stopping, so a failure to close the listener has no effect.
        }
        const std::unique_lock<std::shared_mutex> sinkUnused(sinkMutex);
        isClosed = true;
    }

    const std::size_t maxBodyBytes;
    const std::shared_ptr<pending_calls> calls;
    const call_sink sink;
    // Shared by the threads that are in the sink.
    std::shared_mutex sinkMutex;
    bool isClosed = false;
    web::http::experimental::listener::http_listener listener;
};

base::result<std::unique_ptr<http_listener>>
http_listener::open(const base::endpoint &local, std::size_t maxBodyBytes,
                    std::shared_ptr<pending_calls> calls, call_sink sink)
{
    try {
        std::shared_ptr<implementation> state = std::make_shared<implementation>(
            local, maxBodyBytes, std::move(calls), std::move(sink));
        implementation *raw = state.get();
        state->listener.support([raw](const http_request &request) { raw->handle(request); });
        state->listener.open().wait();
        return std::unique_ptr<http_listener>(new http_listener(std::move(state)));
    } catch (const std::exception &failure) {
        return base::error {base::error_code::socketFailed,
                            "listen on " + local.text() + ": " + failure.what()};
    }
}

http_listener::http_listener(std::shared_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

http_listener::~http_listener()
{
    m_implementation->close();
}

} // namespace lycheeshunt::http
