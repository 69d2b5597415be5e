#include "lycheeshunt/operators/api_server.h"

#include "lycheeshunt/http/http_listener.h"

namespace lycheeshunt::operators {

namespace {

constexpr std::size_t maxBodyBytes = 1024 * 1024;

} // namespace

base::result<std::unique_ptr<api_server>>
api_server::open(const base::endpoint &local, std::shared_ptr<http::pending_calls> calls,
                 base::ring<operator_message> &inbox)
{
    base::result<std::unique_ptr<http::http_listener>> listener = http::http_listener::open(
        local, maxBodyBytes, std::move(calls),
        [&inbox](const http::http_call &call) { return inbox.tryPush(http_arrived(call)); });
    if (const base::error *failure = base::errorOf(listener))
        return *failure;
    return std::unique_ptr<api_server>(new api_server(base::takeValue(std::move(listener))));
}

api_server::api_server(std::unique_ptr<http::http_listener> listener)
    : m_listener(std::move(listener))
{
}

api_server::~api_server() = default;

} // namespace lycheeshunt::operators
