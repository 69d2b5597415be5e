// The metrics thread and, where the settings give an address, the HTTP server for scrapers.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/metrics/metrics_duty.h"
#include "lycheeshunt/metrics/scrape_server.h"

#include <memory>
#include <optional>
#include <vector>

namespace lycheeshunt::daemon::internal {

class metrics_endpoint
{
public:
    // The objects that the collectors read must outlive the endpoint.
    static base::result<std::unique_ptr<metrics_endpoint>>
    open(const std::optional<base::endpoint> &listen,
         std::vector<metrics::metrics_duty::collector> collectors);

private:
    explicit metrics_endpoint(std::vector<metrics::metrics_duty::collector> collectors);

    metrics::metrics_duty m_duty;
    std::unique_ptr<metrics::scrape_server> m_server;
};

} // namespace lycheeshunt::daemon::internal
