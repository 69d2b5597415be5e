#include "lycheeshunt/daemon/internal/metrics_endpoint.h"

#include "lycheeshunt/http/connection_counts.h"

namespace lycheeshunt::daemon::internal {

namespace {

void addCounters(std::vector<metrics::sample> &samples, const std::string &name,
                 const std::string &help, const std::string &label,
                 const std::map<std::string, std::uint64_t> &counts)
{
    for (auto it = counts.begin(); it != counts.end(); ++it)
        samples.push_back(metrics::sample {
            name, help, metrics::counter_value {it->second}, {metrics::label {label, it->first}}});
}

// The connections of all HTTP listeners of the process.
metrics::report reportConnections()
{
    const http::connection_counts counts = http::connectionCounts();
    std::vector<metrics::sample> samples {
        metrics::sample {"http_connections", "Open HTTP connections.",
                         metrics::gauge_value {static_cast<double>(counts.open)}},
        metrics::sample {"http_connections_accepted_total", "HTTP connections accepted.",
                         metrics::counter_value {counts.accepted}},
        metrics::sample {"http_connections_refused_total",
                         "HTTP connections closed at once for lack of room.",
                         metrics::counter_value {counts.refused}}};
    addCounters(samples, "http_connections_evicted_total",
                "HTTP connections closed in favour of others, by the limit.", "limit",
                counts.evicted);
    addCounters(samples, "http_connections_timed_out_total",
                "HTTP connections closed by a timeout, by what they were doing.", "phase",
                counts.timedOut);
    return metrics::report {"http", std::move(samples)};
}

} // namespace

base::result<std::unique_ptr<metrics_endpoint>>
metrics_endpoint::open(const std::optional<base::endpoint> &listen,
                       std::vector<metrics::metrics_duty::collector> collectors)
{
    collectors.emplace_back(&reportConnections);
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
