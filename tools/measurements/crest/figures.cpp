#include "figures.h"

#include <cpprest/json.h>

#include <algorithm>
#include <iostream>

namespace lycheeshunt::crest {

namespace {

constexpr std::int64_t warmUp = 10'000;

double percentile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    const std::size_t last = values.size() - 1;
    const std::size_t position
        = std::min(last, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position),
                     values.end());
    return values[position];
}

double answersOfFluidServer(const scenario &parameters, const std::vector<work_item> &arrivals)
{
    constexpr std::int64_t stepMillis = 10;
    constexpr double maxWaitMillis = 2000;
    const double capacity = static_cast<double>(parameters.servers * parameters.limits.slots);
    double backlog = 0;
    double served = 0;
    std::size_t next = 0;
    for (std::int64_t now = stepMillis; now < parameters.duration + 60'000; now += stepMillis) {
        for (; next < arrivals.size() && arrivals[next].arrivedAt < now; ++next)
            backlog += static_cast<double>(arrivals[next].serviceTime);
        const double done = std::min(backlog, capacity * stepMillis);
        served += done;
        backlog = std::min(backlog - done, capacity * maxWaitMillis);
    }
    double offered = 0;
    for (const work_item &item : arrivals)
        offered += static_cast<double>(item.serviceTime);
    return served / offered * static_cast<double>(arrivals.size());
}

} // namespace

wait_figures shortWorkWaits(const run_result &result)
{
    std::vector<double> waits;
    double sum = 0;
    double total = 0;
    for (std::size_t work = 0; work < result.arrivals.size(); ++work) {
        const work_item &item = result.arrivals[work];
        if (item.isFeed() || item.isLong || item.arrivedAt < warmUp)
            continue;
        const std::int64_t startedAt = result.outcomes[work].startedAt;
        total += 1;
        if (startedAt < 0)
            continue;
        waits.push_back(static_cast<double>(startedAt - item.arrivedAt) / shortMeanMillis);
        sum += waits.back();
    }
    const double started = static_cast<double>(waits.size());
    return wait_figures {sum / std::max(1.0, started), percentile(waits, 0.99),
                         1 - started / std::max(1.0, total)};
}

double answeredInTimeShare(const scenario &parameters, const run_result &result)
{
    double answered = 0;
    for (std::size_t work = 0; work < result.arrivals.size(); ++work) {
        const std::int64_t answeredAt = result.outcomes[work].answeredAt;
        if (answeredAt >= 0 && answeredAt <= result.arrivals[work].deadline())
            answered += 1;
    }
    return answered / answersOfFluidServer(parameters, result.arrivals);
}

double refusalDelayMillis(const run_result &result)
{
    std::vector<double> spans;
    for (std::size_t work = 0; work < result.arrivals.size(); ++work) {
        const outcome &record = result.outcomes[work];
        if (record.refusedAt >= 0 && !record.faultInjected)
            spans.push_back(
                static_cast<double>(record.refusedAt - result.arrivals[work].arrivedAt));
    }
    return percentile(spans, 0.99);
}

std::uint64_t countRunTwice(const run_result &result)
{
    return static_cast<std::uint64_t>(
        std::count_if(result.outcomes.begin(), result.outcomes.end(),
                      [](const outcome &record) { return record.runs > 1; }));
}

std::uint64_t wronglyReportedNotRun(const run_result &result)
{
    return static_cast<std::uint64_t>(
        std::count_if(result.outcomes.begin(), result.outcomes.end(),
                      [](const outcome &record) { return record.wronglyReportedNotRun; }));
}

double meanOffers(const run_result &result)
{
    double sum = 0;
    for (const outcome &record : result.outcomes)
        sum += record.offers;
    return sum / static_cast<double>(std::max<std::size_t>(1, result.outcomes.size()));
}

void print(const figure &line)
{
    web::json::value object = web::json::value::object(true);
    object["name"] = web::json::value::string(line.name);
    object["value"] = web::json::value::number(line.value);
    object["unit"] = web::json::value::string(line.unit);
    object["bound"] = line.bound ? web::json::value::number(*line.bound) : web::json::value::null();
    object["baseline"] = web::json::value::string(line.baseline);
    std::cout << object.serialize() << std::endl;
}

} // namespace lycheeshunt::crest
