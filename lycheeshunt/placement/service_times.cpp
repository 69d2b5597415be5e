#include "lycheeshunt/placement/service_times.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheeshunt::placement {

namespace {

// Servers slow down for some seconds at a time, so older samples do not show the present speed.
constexpr base::clock_time sampleHalfLife = base::clock_time::ofSeconds(2);
// A server without newer samples counts as average, so that one that was slow gets work again.
constexpr base::clock_time sampleLifetime = base::clock_time::ofSeconds(5);
// Among fewer, one request that takes seven times as long shifts the mean by more than 3/8.
constexpr std::uint32_t minSamples = 8;
// Bounds the weight of the past where answers are frequent: a server that becomes four times slower
// counts as twice as slow after 8 answers.
constexpr double maxWeight = 32;
// A few requests take seven times as long as the others. A longer sample counts as this many means,
// so that such a request shifts the mean by a tenth and a slower server still shows in each sample.
constexpr double maxMeans = 4;
// Spans are whole milliseconds, so shorter ones are not exact to a quarter.
constexpr double minMillis = 4;
// The reported mean changes only by more than this share: each change costs a round of reports.
constexpr double reportStep = 0.125;
// Smaller differences come from the mix of requests and are not worth a hop.
constexpr double minDifference = 0.25;
// A server that answers with errors is fast, but should not attract most flows of its service.
constexpr double minSlowness = 0.5;

bool isOld(const service_time &time, base::clock_time now)
{
    return now - time.sampledAt > sampleLifetime;
}

} // namespace

service_time afterAnswer(service_time time, base::clock_time span, base::clock_time now)
{
    // The span includes a suspension of the VM, or the server has held the request back.
    if (span > sampleLifetime)
        return time;
    if (time.taken == 0 || isOld(time, now))
        time = service_time {};
    const double millis = static_cast<double>(span.millis());
    const double age = static_cast<double>((now - time.sampledAt).millis());
    const double earlier
        = std::min(maxWeight - 1,
                   time.weight * std::exp2(-age / static_cast<double>(sampleHalfLife.millis())));
    const double sample
        = time.taken == 0 ? millis : std::min(millis, maxMeans * std::max(1.0, time.meanMillis));
    // The first sample has no mean to be compared with, so the next ones bound it.
    if (time.taken > 0 && time.taken < minSamples)
        time.meanMillis = std::min(time.meanMillis, maxMeans * std::max(minMillis, millis));
    time.weight = earlier + 1;
    time.meanMillis += (sample - time.meanMillis) / time.weight;
    time.sampledAt = now;
    ++time.taken;
    if (std::abs(time.meanMillis - time.reportedMillis) > reportStep * time.reportedMillis)
        time.reportedMillis = static_cast<std::uint32_t>(std::lround(time.meanMillis));
    return time;
}

std::uint32_t knownMillis(const service_time &time, base::clock_time now)
{
    const bool isKnown
        = time.taken >= minSamples && !isOld(time, now) && time.meanMillis >= minMillis;
    return isKnown ? time.reportedMillis : 0;
}

double usualMillis(std::vector<std::uint32_t> times)
{
    std::erase(times, 0U);
    if (times.empty())
        return 0;
    std::sort(times.begin(), times.end());
    const std::ptrdiff_t quarter = static_cast<std::ptrdiff_t>(times.size() / 4);
    const auto first = times.begin() + quarter;
    const auto last = times.end() - quarter;
    return std::accumulate(first, last, 0.0) / static_cast<double>(last - first);
}

double slownessOf(std::uint32_t serviceMillis, double usual)
{
    if (serviceMillis == 0 || usual <= 0)
        return 1;
    const double slowness = serviceMillis / usual;
    return std::abs(slowness - 1) < minDifference ? 1 : std::max(minSlowness, slowness);
}

} // namespace lycheeshunt::placement
