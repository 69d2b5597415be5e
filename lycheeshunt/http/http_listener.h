// Receives HTTP requests on one address with Boost.Beast, on a thread of its own that only forwards
// them to the sink. Limits the size of the header and of the body while they arrive, the time that
// they may take, the number of connections, and the number of pending requests. Connections that
// send no complete request are closed in favour of new ones.
//
//     result<std::unique_ptr<http_listener>> api
//         = http_listener::open(local, maxBodyBytes, calls, [&](const http_call &call) { ... });
//     calls->answer(http_answer {call.request, 200, "{}"});

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/http/connection_limits.h"
#include "lycheeshunt/http/http_call.h"

#include <functional>
#include <memory>
#include <thread>

namespace lycheeshunt::http {

class pending_calls;

namespace internal {
class connection_acceptor;
}

class http_listener
{
public:
    // Called on the listener's thread; must not block. Returns false to reject the request as
    // tooBusy.
    using call_sink = std::function<bool(const http_call &)>;

    // Requests arrive before open() returns. Each is added to the pending calls, then goes to the
    // sink. Errors: socketFailed.
    static base::result<std::unique_ptr<http_listener>>
    open(const base::endpoint &local, std::size_t maxBodyBytes,
         std::shared_ptr<pending_calls> calls, call_sink sink,
         const connection_limits &limits = connection_limits());
    // Returns once no thread is in the sink, and none enters it any more.
    ~http_listener();

    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

private:
    http_listener(std::shared_ptr<internal::connection_acceptor> acceptor, std::thread loop);

    const std::shared_ptr<internal::connection_acceptor> m_acceptor;
    std::thread m_loop;
};

} // namespace lycheeshunt::http
