// Virtual time and a network for the tests of the flow decisions. Loses, duplicates and delays
// messages with a seeded generator; the same seed gives the same run.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <functional>
#include <map>
#include <random>

namespace lycheeshunt::flows {

class fake_network
{
public:
    struct faults
    {
        double loss = 0;
        double duplication = 0;
        std::int64_t maxDelayMillis = 3;
    };
    using event = std::function<void()>;

    fake_network(std::uint64_t seed, const faults &what) : m_random(seed), m_faults(what) { }

    base::clock_time now() const { return m_now; }

    // Uniformly distributed from 0 to the limit, inclusive.
    std::uint64_t random(std::uint64_t limit) { return m_random() % (limit + 1); }

    void at(base::clock_time when, event what) { m_events.emplace(when, std::move(what)); }

    void atRandomTimeWithin(base::clock_time span, event what)
    {
        at(m_now + base::clock_time::ofMillis(std::int64_t(random(std::uint64_t(span.millis())))),
           std::move(what));
    }

    void send(const event &deliver)
    {
        const std::size_t copies = chance(m_faults.duplication) ? 2 : 1;
        for (std::size_t i = 0; i < copies; ++i) {
            if (!chance(m_faults.loss))
                atRandomTimeWithin(base::clock_time::ofMillis(m_faults.maxDelayMillis), deliver);
        }
    }

    void run(base::clock_time span)
    {
        const base::clock_time until = m_now + span;
        while (!m_events.empty() && m_events.begin()->first <= until) {
            const std::multimap<base::clock_time, event>::node_type next
                = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = until;
    }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    std::mt19937_64 m_random;
    const faults m_faults;
    base::clock_time m_now = base::clock_time::ofSeconds(1000);
    std::multimap<base::clock_time, event> m_events;
};

} // namespace lycheeshunt::flows
