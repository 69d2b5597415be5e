// Queries the health and load endpoints of a backend server over HTTP.
//
//     endpoint_poller poller(server);
//     const health_report report = poller.poll();
//
// GET /health: 200 is good, any other status bad. GET /load: a JSON object whose "busy" is the
// number of busy slots; it is optional.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/health/health_report.h"

#include <memory>

namespace lycheeshunt::health {

class endpoint_poller
{
public:
    explicit endpoint_poller(const base::endpoint &server);
    ~endpoint_poller();

    endpoint_poller(const endpoint_poller &) = delete;
    endpoint_poller &operator=(const endpoint_poller &) = delete;

    // Blocks until both endpoints have replied, 2 s at most.
    health_report poll();

private:
    struct connection;

    const std::unique_ptr<connection> m_connection;
};

} // namespace lycheeshunt::health
