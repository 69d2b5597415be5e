// The HTTP calls that have no answer yet. Create it before the threads that answer and before the
// listener that adds the calls: a call can be answered as soon as it arrives, and an answer is safe
// after the listener has closed.
//
//     const std::shared_ptr<pending_calls> calls = std::make_shared<pending_calls>();
//     calls->answer(http_answer {call.request, 200, "{}"});

#pragma once

#include "lycheeshunt/http/http_answer.h"

#include <memory>

namespace lycheeshunt::http {

namespace internal {
class connection_acceptor;
class http_connection;
} // namespace internal

class pending_calls
{
public:
    pending_calls();
    ~pending_calls();

    pending_calls(const pending_calls &) = delete;
    pending_calls &operator=(const pending_calls &) = delete;

    // Sends the response. Thread-safe. A response to an unknown request, or to one whose listener
    // has closed, is discarded.
    void answer(const http_answer &answer);

private:
    friend class internal::connection_acceptor;
    friend class internal::http_connection;
    struct implementation;

    const std::unique_ptr<implementation> m_implementation;
};

} // namespace lycheeshunt::http
