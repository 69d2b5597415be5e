// lycheeshuntctl: the operators' command-line client.

#include "lycheeshunt/base/error.h"

#include <CLI/CLI.hpp>
#include <cpprest/http_client.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using lycheeshunt::base::error;
using lycheeshunt::base::error_code;

enum exit_status : int { success = 0, refused = 1, badUsage = 2, unreachable = 3, notInForce = 4 };

int report(const web::http::http_response &response)
{
    const std::string body = response.extract_utf8string(true).get();
    const bool isOk = response.status_code() == web::http::status_codes::OK;
    (isOk ? std::cout : std::cerr) << body << "\n";
    return isOk ? success : refused;
}

int send(const std::string &server, const web::http::http_request &request)
{
    constexpr int timeoutSeconds = 10;
    try {
        web::http::client::http_client_config config;
        config.set_timeout(std::chrono::seconds(timeoutSeconds));
        web::http::client::http_client client("http://" + server, config);
        return report(client.request(request).get());
    } catch (const std::exception &failure) {
        std::cerr << error {error_code::controlUnreachable, server + ": " + failure.what()}.text()
                  << "\n";
        return unreachable;
    }
}

int get(const std::string &server, const std::string &path)
{
    web::http::http_request request(web::http::methods::GET);
    request.set_request_uri(path);
    return send(server, request);
}

int submit(const std::string &server, const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        std::cerr << error {error_code::requestMalformed, "can't read " + path}.text() << "\n";
        return badUsage;
    }
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri("/v1/tickets");
    request.set_body(text.str(), "application/json");
    return send(server, request);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("lycheeshuntctl: operators' client of lycheeshunt");
    app.require_subcommand(1);
    std::string server = "127.0.0.1:7480";
    app.add_option("--server", server, "API address of a control VM");
    std::string ticketPath;
    std::uint64_t ticketNumber = 0;
    CLI::App *ticket = app.add_subcommand("ticket", "change tickets")->require_subcommand(1);
    CLI::App *submitTicket = ticket->add_subcommand("submit", "submit a ticket file (JSON)");
    submitTicket->add_option("file", ticketPath)->required();
    CLI::App *showTicket = ticket->add_subcommand("show", "show a ticket and where it is in force");
    showTicket->add_option("number", ticketNumber)->required();
    CLI::App *status = app.add_subcommand("status", "what is in force and who is behind");
    CLI11_PARSE(app, argc, argv);

    if (submitTicket->parsed())
        return submit(server, ticketPath);
    if (showTicket->parsed())
        return get(server, "/v1/tickets/" + std::to_string(ticketNumber));
    return status->parsed() ? get(server, "/v1/status") : badUsage;
}
