#include "lycheeshunt/metrics/scrape_server.h"

#include <cpprest/http_listener.h>

namespace lycheeshunt::metrics {

namespace {

using web::http::http_request;

constexpr base::clock_time scrapeTimeout = base::clock_time::ofSeconds(1);

void handleScrape(const http_request &request, base::ring<metrics_message> &inbox)
{
    if (request.relative_uri().path() != "/metrics") {
        const base::error unknown {base::error_code::noSuchResource, request.relative_uri().path()};
        request.reply(web::http::status_codes::NotFound, unknown.text() + "\n", "text/plain");
        return;
    }
    const std::shared_ptr<base::ring<std::string>> text
        = std::make_shared<base::ring<std::string>>(1);
    std::optional<std::string> body;
    if (inbox.tryPush(scrape_request {text}))
        body = text->popFor(scrapeTimeout);
    if (body) {
        request.reply(web::http::status_codes::OK, *body, "text/plain; version=0.0.4");
        return;
    }
    const base::error busy {base::error_code::tooBusy, ""};
    request.reply(web::http::status_codes::ServiceUnavailable, busy.text() + "\n", "text/plain");
}

} // namespace

struct scrape_server::implementation
{
    explicit implementation(const base::endpoint &local) : listener("http://" + local.text()) { }

    web::http::experimental::listener::http_listener listener;
};

base::result<std::unique_ptr<scrape_server>> scrape_server::open(const base::endpoint &local,
                                                                 base::ring<metrics_message> &inbox)
{
    try {
        std::unique_ptr<implementation> state = std::make_unique<implementation>(local);
        state->listener.support(web::http::methods::GET, [&inbox](const http_request &request) {
            handleScrape(request, inbox);
        });
        state->listener.open().wait();
        return std::unique_ptr<scrape_server>(new scrape_server(std::move(state)));
    } catch (const std::exception &failure) {
        return base::error {base::error_code::socketFailed,
                            "listen on " + local.text() + ": " + failure.what()};
    }
}

scrape_server::scrape_server(std::unique_ptr<implementation> state)
    : m_implementation(std::move(state))
{
}

scrape_server::~scrape_server()
{
    try {
        m_implementation->listener.close().wait();
    } catch (const std::exception &) {
        // The process is stopping, so a failure to close the listener has no effect.
        return;
    }
}

} // namespace lycheeshunt::metrics
