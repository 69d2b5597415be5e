// Sends one request to the first control VM that answers.
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
    // Servers are HOST:PORT. The token is empty where none is needed.
    control_client(std::vector<std::string> servers, std::string token);

    // controlUnreachable when no server answers. The wait is what the server itself may take.
    base::result<http_answer> get(const std::string &path, base::clock_time wait) const;
    // The next server is tried also when an answer was lost: tickets are idempotent.
    base::result<http_answer> post(const std::string &path, const std::string &body,
                                   base::clock_time wait) const;

private:
    base::result<http_answer> send(const std::string &method, const std::string &path,
                                   const std::string &body, base::clock_time wait) const;

    const std::vector<std::string> m_servers;
    const std::string m_token;
};

} // namespace lycheeshunt::ctl
