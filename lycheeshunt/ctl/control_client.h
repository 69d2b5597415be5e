// Sends a request to the control VMs in turn until one replies.
//
//     const base::result<http_answer> answer
//         = control_client(servers, token).get("/v1/status", clock_time());

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/result.h"
#include "lycheeshunt/ctl/http_answer.h"

#include <string>
#include <vector>

namespace lycheeshunt::ctl {

class control_client
{
public:
    // Servers are HOST:PORT. The token is empty if none is needed.
    control_client(std::vector<std::string> servers, std::string token);

    // Returns controlUnreachable when no server replies. `wait` is the time that the server may
    // take on top of the request timeout.
    base::result<http_answer> get(const std::string &path, base::clock_time wait) const;
    // Tries the next server even if only the reply was lost: tickets are idempotent.
    base::result<http_answer> post(const std::string &path, const std::string &body,
                                   base::clock_time wait) const;

private:
    base::result<http_answer> send(const std::string &method, const std::string &path,
                                   const std::string &body, base::clock_time wait) const;

    const std::vector<std::string> m_servers;
    const std::string m_token;
};

} // namespace lycheeshunt::ctl
