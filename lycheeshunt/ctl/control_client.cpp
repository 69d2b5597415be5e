#include "lycheeshunt/ctl/control_client.h"

#include <cpprest/http_client.h>

namespace lycheeshunt::ctl {

namespace {

constexpr base::clock_time answerTimeout = base::clock_time::ofSeconds(10);

bool shouldTryNext(const http_answer &answer)
{
    return answer.status == web::http::status_codes::ServiceUnavailable;
}

} // namespace

control_client::control_client(std::vector<std::string> servers, std::string token)
    : m_servers(std::move(servers)), m_token(std::move(token))
{
}

base::result<http_answer> control_client::get(const std::string &path, base::clock_time wait) const
{
    return send(web::http::methods::GET, path, "", wait);
}

base::result<http_answer> control_client::post(const std::string &path, const std::string &body,
                                               base::clock_time wait) const
{
    return send(web::http::methods::POST, path, body, wait);
}

base::result<http_answer> control_client::send(const std::string &method, const std::string &path,
                                               const std::string &body, base::clock_time wait) const
{
    std::string failures;
    for (const std::string &server : m_servers) {
        try {
            web::http::client::http_client_config config;
            config.set_timeout(std::chrono::milliseconds((answerTimeout + wait).millis()));
            web::http::http_request request(method);
            request.set_request_uri(path);
            if (!body.empty())
                request.set_body(body, "application/json");
            if (!m_token.empty())
                request.headers().add("Authorization", "Bearer " + m_token);
            web::http::client::http_client client("http://" + server, config);
            const web::http::http_response response = client.request(request).get();
            const http_answer answer {response.status_code(),
                                      response.extract_utf8string(true).get()};
            if (!shouldTryNext(answer) || server == m_servers.back())
                return answer;
        } catch (const std::exception &failure) {
            failures += (failures.empty() ? "" : "; ") + server + ": " + failure.what();
        }
    }
    return base::error {base::error_code::controlUnreachable, failures};
}

} // namespace lycheeshunt::ctl
