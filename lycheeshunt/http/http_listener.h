// Receives HTTP requests on one address with cpprestsdk, whose threads only forward them to the
// sink. Limits the size of a body and the number of pending requests.
//
//     result<std::unique_ptr<http_listener>> api
//         = http_listener::open(local, maxBodyBytes, calls, [&](const http_call &call) { ... });
//     calls->answer(http_answer {call.request, 200, "{}"});

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/http/http_call.h"

#include <functional>
#include <memory>

namespace lycheeshunt::http {

class pending_calls;

// Sets the number of the library's threads in this process. Call it once, before the first listener
// opens.
void useThreads(std::size_t count);

class http_listener
{
public:
    // Called on the library's threads; must not block. Returns false to reject the request as
    // tooBusy.
    using call_sink = std::function<bool(const http_call &)>;

    // Requests arrive before open() returns. Each is added to the pending calls, then goes to the
    // sink.
    static base::result<std::unique_ptr<http_listener>> open(const base::endpoint &local,
                                                             std::size_t maxBodyBytes,
                                                             std::shared_ptr<pending_calls> calls,
                                                             call_sink sink);
    // Returns once no thread is in the sink, and none enters it any more.
    ~http_listener();

    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

private:
    struct implementation;

    explicit http_listener(std::shared_ptr<implementation> state);

    const std::shared_ptr<implementation> m_implementation;
};

} // namespace lycheeshunt::http
