#include "scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lycheeshunt::crest {

namespace {

constexpr std::int64_t crestEvery = 40'000;
constexpr std::int64_t crestStart = 13'000;
constexpr std::int64_t climb = 2'000;
constexpr std::int64_t crestLength = 10'000;
constexpr std::int64_t drainEvery = 60'000;
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
    const std::int64_t service = millisOf(random.exponential(mean));
    return work_item {now, service, millisOf(random.exponential(2000)), isLong, random.hash()};
}

} // namespace

double demandAt(const scenario &given, std::int64_t now)
{
    const std::int64_t phase = now % crestEvery - crestStart;
    const double up = static_cast<double>(phase) / climb;
    const double down = static_cast<double>(2 * climb + crestLength - phase) / climb;
    const double share = std::clamp(std::min(up, down), 0.0, 1.0);
    return given.load + (given.crestLoad - given.load) * share;
}

std::vector<work_item> arrivalsOf(const scenario &given)
{
    generator random(given.seed);
    const double servers = static_cast<double>(given.servers);
    const double fullRate = servers * given.limits.slots / meanMillis;
    const double peak = fullRate * std::max(given.load, given.crestLoad);
    const double feedRate = given.feedRate * servers / 1000;
    std::vector<work_item> arrivals;
    double now = 0;
    while (now < static_cast<double>(given.duration)) {
        now += random.exponential(1 / (peak + feedRate));
        const std::int64_t at = static_cast<std::int64_t>(now);
        const double pick = random.uniform() * (peak + feedRate);
        if (pick < fullRate * demandAt(given, at))
            arrivals.push_back(workAt(random, at));
        else if (pick >= peak)
            arrivals.push_back(
                work_item {at, 0, millisOf(random.exponential(60'000)), false, random.hash()});
    }
    return arrivals;
}

std::size_t drainingAt(const scenario &given, std::int64_t now)
{
    if (!given.drains || now % drainEvery < drainEvery - drainLength)
        return given.servers;
    return static_cast<std::size_t>(now / drainEvery) % given.servers;
}

} // namespace lycheeshunt::crest
