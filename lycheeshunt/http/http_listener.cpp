#include "lycheeshunt/http/http_listener.h"

#include "lycheeshunt/http/internal/connection_acceptor.h"

#include <future>

namespace lycheeshunt::http {

base::result<std::unique_ptr<http_listener>>
http_listener::open(const base::endpoint &local, std::size_t maxBodyBytes,
                    std::shared_ptr<pending_calls> calls, call_sink sink,
                    const connection_limits &limits)
{
    const std::shared_ptr<internal::connection_acceptor> acceptor
        = std::make_shared<internal::connection_acceptor>(maxBodyBytes, std::move(calls),
                                                          std::move(sink), limits);
    std::promise<std::string> promise;
    std::future<std::string> outcome = promise.get_future();
    // Connections are served from the moment when they are accepted.
    std::thread loop([acceptor, local, listening = std::move(promise)]() mutable {
        try {
            acceptor->listen(local);
            listening.set_value("");
        } catch (const std::exception &failure) {
            listening.set_value(failure.what());
            return;
        }
        acceptor->run();
    });
    const std::string failure = outcome.get();
    if (failure.empty())
        return std::unique_ptr<http_listener>(new http_listener(acceptor, std::move(loop)));
    loop.join();
    return base::error {base::error_code::socketFailed,
                        "listen on " + local.text() + ": " + failure};
}

http_listener::http_listener(std::shared_ptr<internal::connection_acceptor> acceptor,
                             std::thread loop)
    : m_acceptor(std::move(acceptor)), m_loop(std::move(loop))
{
}

http_listener::~http_listener()
{
    m_acceptor->stop();
    m_loop.join();
}

} // namespace lycheeshunt::http
