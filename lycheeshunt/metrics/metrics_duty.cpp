#include "lycheeshunt/metrics/metrics_duty.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/metrics/exposition.h"

namespace lycheeshunt::metrics {

namespace {
constexpr std::size_t inboxCapacity = 64;
}

metrics_duty::metrics_duty(std::vector<collector> collectors)
    : m_collectors(std::move(collectors)),
      m_duty(inboxCapacity,
             [this](const metrics_message &message, base::clock_time) { handle(message); })
{
}

void metrics_duty::handle(const metrics_message &message)
{
    std::visit(base::overloaded {
                   [this](const report &latest) { storeReport(latest); },
                   [this](const scrape_request &request) {
                       collect();
                       request.answer->tryPush(expositionText(m_reports));
                   },
               },
               message);
}

void metrics_duty::storeReport(const report &latest)
{
    m_reports.erase(latest.duty);
    m_reports.emplace(latest.duty, latest);
}

void metrics_duty::collect()
{
    for (const collector &collectReport : m_collectors)
        storeReport(collectReport());
}

} // namespace lycheeshunt::metrics
