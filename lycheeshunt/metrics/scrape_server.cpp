#include "lycheeshunt/metrics/scrape_server.h"

#include "lycheeshunt/http/http_listener.h"
#include "lycheeshunt/http/pending_calls.h"

namespace lycheeshunt::metrics {

namespace {

constexpr base::clock_time scrapeTimeout = base::clock_time::ofSeconds(1);
constexpr std::size_t maxBodyBytes = 1024;
const std::string textType = "text/plain";
const std::string expositionType = "text/plain; version=0.0.4";

enum status : int { ok = 200, notFound = 404, unavailable = 503 };

// Waits for the metrics duty. Only scrapers share this thread.
http::http_answer answerTo(const http::http_call &call, base::ring<metrics_message> &inbox)
{
    if (call.method != "GET" || call.path != "/metrics") {
        const base::error unknown {base::error_code::noSuchResource, call.method + " " + call.path};
        return http::http_answer {call.request, notFound, unknown.text() + "\n", {}, textType};
    }
    const std::shared_ptr<base::ring<std::string>> text
        = std::make_shared<base::ring<std::string>>(1);
    std::optional<std::string> body;
    if (inbox.tryPush(scrape_request {text}))
        body = text->popFor(scrapeTimeout);
    if (body)
        return http::http_answer {call.request, ok, *body, {}, expositionType};
    const base::error busy {base::error_code::tooBusy, ""};
    return http::http_answer {call.request, unavailable, busy.text() + "\n", {}, textType};
}

} // namespace

base::result<std::unique_ptr<scrape_server>> scrape_server::open(const base::endpoint &local,
                                                                 base::ring<metrics_message> &inbox)
{
    const std::shared_ptr<http::pending_calls> calls = std::make_shared<http::pending_calls>();
    base::result<std::unique_ptr<http::http_listener>> listener = http::http_listener::open(
        local, maxBodyBytes, calls, [&inbox, raw = calls.get()](const http::http_call &call) {
            raw->answer(answerTo(call, inbox));
            return true;
        });
    if (const base::error *failure = base::errorOf(listener))
        return *failure;
    return std::unique_ptr<scrape_server>(new scrape_server(base::takeValue(std::move(listener))));
}

scrape_server::scrape_server(std::unique_ptr<http::http_listener> listener)
    : m_listener(std::move(listener))
{
}

scrape_server::~scrape_server() = default;

} // namespace lycheeshunt::metrics
