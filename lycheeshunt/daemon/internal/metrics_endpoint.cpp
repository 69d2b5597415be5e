#include "lycheeshunt/daemon/internal/metrics_endpoint.h"

namespace lycheeshunt::daemon::internal {

base::result<std::unique_ptr<metrics_endpoint>>
metrics_endpoint::open(const std::optional<base::endpoint> &listen,
                       std::vector<metrics::metrics_duty::collector> collectors)
{
    std::unique_ptr<metrics_endpoint> endpoint(new metrics_endpoint(std::move(collectors)));
    if (!listen)
        return endpoint;
    base::result<std::unique_ptr<metrics::scrape_server>> server
        = metrics::scrape_server::open(*listen, endpoint->m_duty.inbox());
    if (const base::error *failure = base::errorOf(server))
        return *failure;
    endpoint->m_server = base::takeValue(std::move(server));
    return endpoint;
}

metrics_endpoint::metrics_endpoint(std::vector<metrics::metrics_duty::collector> collectors)
    : m_duty(std::move(collectors))
{
}

} // namespace lycheeshunt::daemon::internal
