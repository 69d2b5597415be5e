// The HTTP listener for operators, by cpprestsdk. Requests go to the operator duty's ring; the duty
// replies through the pending calls. Limits the body size and the in-flight requests.
//
//     result<std::unique_ptr<api_server>> api = api_server::open(local, calls, operators.inbox());

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/operators/operator_message.h"

#include <memory>

namespace lycheeshunt::http {
class http_listener;
class pending_calls;
} // namespace lycheeshunt::http

namespace lycheeshunt::operators {

class api_server
{
public:
    // Requests arrive before open() returns. The inbox must outlive the server.
    static base::result<std::unique_ptr<api_server>>
    open(const base::endpoint &local, std::shared_ptr<http::pending_calls> calls,
         base::ring<operator_message> &inbox);
    ~api_server();

    api_server(const api_server &) = delete;
    api_server &operator=(const api_server &) = delete;

private:
    explicit api_server(std::unique_ptr<http::http_listener> listener);

    std::unique_ptr<http::http_listener> m_listener;
};

} // namespace lycheeshunt::operators
