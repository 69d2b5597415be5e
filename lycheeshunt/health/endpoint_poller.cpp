#include "lycheeshunt/health/endpoint_poller.h"

#include <cpprest/http_client.h>

namespace lycheeshunt::health {

namespace {

constexpr std::chrono::seconds requestTimeout {1};

web::http::client::http_client_config pollConfig()
{
    web::http::client::http_client_config config;
    config.set_timeout(requestTimeout);
    return config;
}

reported_health queryHealth(web::http::client::http_client &client)
{
    try {
        const web::http::http_response answer
            = client.request(web::http::methods::GET, "/health").get();
        return answer.status_code() == web::http::status_codes::OK ? reported_health::good
                                                                   : reported_health::bad;
    } catch (const std::exception &) {
        return reported_health::unreachable;
    }
}

// Returns 0 if there is no reply or it is not a JSON object with a number "busy".
std::uint32_t queryLoad(web::http::client::http_client &client)
{
    try {
        const web::json::value load
            = client.request(web::http::methods::GET, "/load").get().extract_json(true).get();
        return load.at("busy").as_number().to_uint32();
    } catch (const std::exception &) {
        return 0;
    }
}

} // namespace

struct endpoint_poller::connection
{
    web::http::client::http_client client;
};

endpoint_poller::endpoint_poller(const base::endpoint &server)
    : m_connection(std::make_unique<connection>(
        connection {web::http::client::http_client("http://" + server.text(), pollConfig())}))
{
}

endpoint_poller::~endpoint_poller() = default;

health_report endpoint_poller::poll()
{
    const reported_health health = queryHealth(m_connection->client);
    const std::uint32_t busy
        = health == reported_health::unreachable ? 0 : queryLoad(m_connection->client);
    return health_report {health, busy};
}

} // namespace lycheeshunt::health
