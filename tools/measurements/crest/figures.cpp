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

double fluidAnswers(const scenario &given, const std::vector<work_item> &arrivals)
{
    constexpr std::int64_t span = 10;
    constexpr double waitMillis = 2000;
    const double capacity = static_cast<double>(given.servers * given.limits.slots);
    double backlog = 0;
    double served = 0;
    std::size_t next = 0;
    for (std::int64_t now = span; now < given.duration + 60'000; now += span) {
        for (; next < arrivals.size() && arrivals[next].at < now; ++next)
            backlog += static_cast<double>(arrivals[next].service);
        const double done = std::min(backlog, capacity * span);
        served += done;
        backlog = std::min(backlog - done, capacity * waitMillis);
    }
    double offered = 0;
    for (const work_item &item : arrivals)
        offered += static_cast<double>(item.service);
    return served / offered * static_cast<double>(arrivals.size());
}

} // namespace

wait_figures shortWaits(const run_result &result)
{
    std::vector<double> waits;
    double sum = 0;
    double all = 0;
    for (std::size_t work = 0; work < result.arrivals.size(); ++work) {
        const work_item &item = result.arrivals[work];
        if (item.isFeed() || item.isLong || item.at < warmUp)
            continue;
        const std::int64_t startedAt = result.outcomes[work].startedAt;
        all += 1;
        if (startedAt < 0)
            continue;
        waits.push_back(static_cast<double>(startedAt - item.at) / shortMeanMillis);
        sum += waits.back();
    }
    const double started = static_cast<double>(waits.size());
    return wait_figures {sum / std::max(1.0, started), percentile(waits, 0.99),
                         1 - started / std::max(1.0, all)};
}

double answeredShare(const scenario &given, const run_result &result)
{
    double answered = 0;
    for (std::size_t work = 0; work < result.arrivals.size(); ++work) {
        const std::int64_t at = result.outcomes[work].answeredAt;
        if (at >= 0 && at <= result.arrivals[work].deadline())
            answered += 1;
    }
    return answered / fluidAnswers(given, result.arrivals);
}

double refusalMillis(const run_result &result)
{
    std::vector<double> spans;
    for (std::size_t work = 0; work < result.arrivals.size(); ++work) {
        const outcome &known = result.outcomes[work];
        if (known.toldNotRunAt >= 0 && !known.disturbed)
            spans.push_back(static_cast<double>(known.toldNotRunAt - result.arrivals[work].at));
    }
    return percentile(spans, 0.99);
}

std::uint64_t runTwice(const run_result &result)
{
    return static_cast<std::uint64_t>(
        std::count_if(result.outcomes.begin(), result.outcomes.end(),
                      [](const outcome &known) { return known.runs > 1; }));
}

std::uint64_t falselyNotRun(const run_result &result)
{
    return static_cast<std::uint64_t>(
        std::count_if(result.outcomes.begin(), result.outcomes.end(),
                      [](const outcome &known) { return known.falselyNotRun; }));
}

double offersMean(const run_result &result)
{
    double sum = 0;
    for (const outcome &known : result.outcomes)
        sum += known.offers;
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
