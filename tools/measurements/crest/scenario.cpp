#include "scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lycheeshunt::crest {

namespace {

constexpr std::int64_t peakInterval = 40'000;
constexpr std::int64_t peakStart = 13'000;
constexpr std::int64_t rampLength = 2'000;
constexpr std::int64_t peakLength = 10'000;
constexpr std::int64_t drainInterval = 60'000;
constexpr std::int64_t drainLength = 20'000;

std::int64_t millisOf(double value)
{
    return std::max<std::int64_t>(1, std::llround(value));
}

class generator
{
public:
    explicit generator(std::uint32_t seed) : m_random(seed) { }

    double uniform() { return std::uniform_real_distribution<double>()(m_random); }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }
    std::uint32_t hash() { return static_cast<std::uint32_t>(m_random()); }

private:
    std::mt19937 m_random;
};

work_item workAt(generator &random, std::int64_t now)
{
    const bool isLong = random.uniform() < longShare;
    const double mean = isLong ? shortMeanMillis * longFactor : shortMeanMillis;
    const std::int64_t serviceTime = millisOf(random.exponential(mean));
    return work_item {now, serviceTime, millisOf(random.exponential(2000)), isLong, random.hash()};
}

} // namespace

double demandAt(const scenario &parameters, std::int64_t now)
{
    const std::int64_t phase = now % peakInterval - peakStart;
    const double up = static_cast<double>(phase) / rampLength;
    const double down = static_cast<double>(2 * rampLength + peakLength - phase) / rampLength;
    const double share = std::clamp(std::min(up, down), 0.0, 1.0);
    return parameters.load + (parameters.peakLoad - parameters.load) * share;
}

std::vector<work_item> arrivalsOf(const scenario &parameters)
{
    generator random(parameters.seed);
    const double servers = static_cast<double>(parameters.servers);
    const double fullRate = servers * parameters.limits.slots / meanMillis;
    const double maxRate = fullRate * std::max(parameters.load, parameters.peakLoad);
    const double feedRate = parameters.feedRate * servers / 1000;
    std::vector<work_item> arrivals;
    double now = 0;
    while (now < static_cast<double>(parameters.duration)) {
        now += random.exponential(1 / (maxRate + feedRate));
        const std::int64_t at = static_cast<std::int64_t>(now);
        const double drawn = random.uniform() * (maxRate + feedRate);
        if (drawn < fullRate * demandAt(parameters, at))
            arrivals.push_back(workAt(random, at));
        else if (drawn >= maxRate)
            arrivals.push_back(
                work_item {at, 0, millisOf(random.exponential(60'000)), false, random.hash()});
    }
    return arrivals;
}

std::size_t drainingAt(const scenario &parameters, std::int64_t now)
{
    if (!parameters.drains || now % drainInterval < drainInterval - drainLength)
        return parameters.servers;
    return static_cast<std::size_t>(now / drainInterval) % parameters.servers;
}

} // namespace lycheeshunt::crest
