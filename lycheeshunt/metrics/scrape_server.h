// Serves GET /metrics on its own address. Any other path or method is answered with 404 and an
// error code.
//
//     result<std::unique_ptr<scrape_server>> server = scrape_server::open(local, metrics.inbox());

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/metrics/metrics_message.h"

#include <memory>

namespace lycheeshunt::http {
class http_listener;
}

namespace lycheeshunt::metrics {

class scrape_server
{
public:
    // The inbox must outlive the server.
    static base::result<std::unique_ptr<scrape_server>> open(const base::endpoint &local,
                                                             base::ring<metrics_message> &inbox);
    ~scrape_server();

    scrape_server(const scrape_server &) = delete;
    scrape_server &operator=(const scrape_server &) = delete;

private:
    explicit scrape_server(std::unique_ptr<http::http_listener> listener);

    const std::unique_ptr<http::http_listener> m_listener;
};

} // namespace lycheeshunt::metrics
