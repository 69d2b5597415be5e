// Serves GET /metrics on its own address with cpprestsdk. A GET of any other path returns 404 with
// an error code.
//
//     result<std::unique_ptr<scrape_server>> server = scrape_server::open(local, metrics.inbox());

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/metrics/metrics_message.h"

#include <memory>

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
    struct implementation;

    explicit scrape_server(std::unique_ptr<implementation> state);

    std::unique_ptr<implementation> m_implementation;
};

} // namespace lycheeshunt::metrics
