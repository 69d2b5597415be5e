// lycheeshuntctl: the operators' command-line client.

#include "lycheeshunt/base/build_identity.h"
#include "lycheeshunt/ctl/control_client.h"
#include "lycheeshunt/ctl/explain.h"
#include "lycheeshunt/ctl/report.h"
#include "lycheeshunt/operators/token_file.h"

#include <CLI/CLI.hpp>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace lycheeshunt;

struct options
{
    std::vector<std::string> servers = {"127.0.0.1:7480"};
    std::string tokenFile;
    std::string ticketPath;
    std::string node;
    std::string author = "lycheeshuntctl";
    std::uint64_t number = 0;
    std::int64_t waitMillis = 10'000;
    bool isWaiting = false;
    bool isUndo = false;
    bool isJson = false;
    std::string caller;
    std::string address;
    std::uint32_t protocol = 6;
    std::vector<std::string> logs;
};

constexpr const char *examples = "Examples:\n"
                                 "  lycheeshuntctl ticket submit change.json --wait\n"
                                 "  lycheeshuntctl ticket show 12 --wait\n"
                                 "  lycheeshuntctl drain logbook-2 --number 13 --wait\n"
                                 "  lycheeshuntctl --server 10.0.0.1:7480 --server 10.0.0.2:7480 "
                                 "--json status\n"
                                 "  lycheeshuntctl explain 192.0.2.7:40001 entry-1.log a1.log\n"
                                 "  lycheeshuntctl where 192.0.2.7:40001 198.51.100.1:443\n"
                                 "Exit statuses: 0 done, 1 refused, 2 usage, 3 unreachable, "
                                 "4 accepted but not in force everywhere";

ctl::report_form formOf(const options &given)
{
    return given.isJson ? ctl::report_form::json : ctl::report_form::table;
}

base::clock_time waitOf(const options &given)
{
    return base::clock_time::ofMillis(given.isWaiting ? given.waitMillis : 0);
}

std::string withWait(const std::string &path, const options &given)
{
    return given.isWaiting ? path + "?wait_ms=" + std::to_string(given.waitMillis) : path;
}

int submit(const ctl::control_client &client, const options &given, const std::string &body)
{
    return ctl::reportTicket(client.post(withWait("/v1/tickets", given), body, waitOf(given)),
                             formOf(given), given.isWaiting, std::cout, std::cerr);
}

int submitFile(const ctl::control_client &client, const options &given)
{
    const std::ifstream file(given.ticketPath);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        std::cerr << base::error {base::error_code::requestMalformed,
                                  "can't read " + given.ticketPath}
                         .text()
                  << "\n";
        return ctl::badUsage;
    }
    return submit(client, given, text.str());
}

int drain(const ctl::control_client &client, const options &given)
{
    using web::json::value;
    value order = value::object();
    order["node"] = value::string(given.node);
    order["draining"] = value::boolean(!given.isUndo);
    value change = value::object();
    change["drain"] = order;
    value ticket = value::object();
    ticket["number"] = value::number(given.number);
    ticket["author"] = value::string(given.author);
    ticket["changes"] = value::array({change});
    return submit(client, given, ticket.serialize());
}

int show(const ctl::control_client &client, const options &given)
{
    const std::string path = "/v1/tickets/" + std::to_string(given.number);
    return ctl::reportTicket(client.get(withWait(path, given), waitOf(given)), formOf(given),
                             given.isWaiting, std::cout, std::cerr);
}

int list(const ctl::control_client &client, const options &given, const std::string &path,
         const std::string &name)
{
    return ctl::reportMembers(client.get(path, base::clock_time()), formOf(given), name, std::cout,
                              std::cerr);
}

int showWhere(const ctl::control_client &client, const options &given)
{
    const std::string path = "/v1/where?caller=" + web::uri::encode_data_string(given.caller)
        + "&address=" + web::uri::encode_data_string(given.address)
        + "&protocol=" + std::to_string(given.protocol);
    return ctl::reportWhere(client.get(path, base::clock_time()), formOf(given), std::cout,
                            std::cerr);
}

int explainFiles(const options &given)
{
    std::vector<std::string> lines;
    for (const std::string &path : given.logs) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "can't read " << path << "\n";
            return ctl::badUsage;
        }
        std::string line;
        while (std::getline(file, line))
            lines.push_back(line);
    }
    return ctl::explainFlow(given.caller, lines, std::cout);
}

void addWait(CLI::App &command, options &given)
{
    constexpr std::int64_t maxWaitMillis = 60'000;
    command.add_flag("--wait", given.isWaiting, "wait until it is in force on every VM");
    command.add_option("--wait-ms", given.waitMillis, "longest wait in milliseconds")
        ->check(CLI::Range(std::int64_t {1}, maxWaitMillis));
}

} // namespace

int main(int argc, char **argv)
{
    options given;
    CLI::App app("lycheeshuntctl: operators' client of lycheeshunt");
    app.set_version_flag("--version", "sources " + std::string(base::sourceDigest()));
    app.require_subcommand(1);
    app.footer(examples);
    app.add_option("--server", given.servers, "API address of a control VM; may be repeated");
    app.add_option("--token-file", given.tokenFile, "file with the operators' token, mode 0600");
    app.add_flag("--json", given.isJson, "print JSON for programs");
    CLI::App *ticket = app.add_subcommand("ticket", "change tickets")->require_subcommand(1);
    CLI::App *submitTicket = ticket->add_subcommand("submit", "submit a ticket file (JSON)");
    submitTicket->add_option("file", given.ticketPath)->required();
    addWait(*submitTicket, given);
    CLI::App *showTicket = ticket->add_subcommand("show", "show a ticket and where it is in force");
    showTicket->add_option("number", given.number)->required();
    addWait(*showTicket, given);
    CLI::App *drainNode = app.add_subcommand("drain", "drain a backend server by a ticket");
    drainNode->add_option("node", given.node, "name of its agent")->required();
    drainNode->add_option("--number", given.number, "number of the ticket")->required();
    drainNode->add_option("--author", given.author);
    drainNode->add_flag("--undo", given.isUndo, "end the draining");
    addWait(*drainNode, given);
    CLI::App *explain
        = app.add_subcommand("explain", "what logs of several processes say of a flow");
    explain->add_option("flow", given.caller, "address and port of its caller")->required();
    explain->add_option("logs", given.logs, "log files")->required();
    CLI::App *where = app.add_subcommand("where", "where a request would go now, and why");
    where->add_option("caller", given.caller, "address and port of the caller")->required();
    where->add_option("address", given.address, "address and port of the service")->required();
    where->add_option("--protocol", given.protocol, "6 (TCP, the default) or 17 (UDP)");
    CLI::App *status = app.add_subcommand("status", "every member and its state");
    CLI::App *servers = app.add_subcommand("servers", "backend servers and their state");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &failure) {
        return app.exit(failure) == 0 ? ctl::done : ctl::badUsage;
    }

    if (explain->parsed())
        return explainFiles(given);
    std::string token;
    if (!given.tokenFile.empty()) {
        const base::result<std::string> read = operators::readToken(given.tokenFile);
        if (const base::error *failure = base::errorOf(read)) {
            std::cerr << failure->text() << "\n";
            return ctl::badUsage;
        }
        token = base::valueOf(read);
    }
    const ctl::control_client client(given.servers, token);
    if (submitTicket->parsed())
        return submitFile(client, given);
    if (showTicket->parsed())
        return show(client, given);
    if (drainNode->parsed())
        return drain(client, given);
    if (where->parsed())
        return showWhere(client, given);
    if (servers->parsed())
        return list(client, given, "/v1/servers", "servers");
    return status->parsed() ? list(client, given, "/v1/status", "members") : ctl::badUsage;
}
