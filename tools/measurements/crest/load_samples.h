// Compares the load of the servers (busy slots or flows) over windows of 10 s.

#pragma once

#include <cstddef>
#include <vector>

namespace lycheeshunt::crest {

// Load of the busiest server divided by the mean load: the worst window and the mean of all
// windows.
struct unevenness
{
    double worst = 0;
    double mean = 0;
};

class load_samples
{
public:
    // Adds one sample of all servers. A server that drains at any time in a window is excluded from
    // it. `draining` is the number of servers when none is draining.
    void add(const std::vector<double> &values, std::size_t draining)
    {
        constexpr std::size_t samplesPerWindow = 100;
        if (m_count == 0) {
            m_sums.assign(values.size(), 0);
            m_excluded.assign(values.size(), false);
        }
        for (std::size_t server = 0; server < values.size(); ++server)
            m_sums[server] += values[server];
        if (draining < values.size())
            m_excluded[draining] = true;
        if (++m_count == samplesPerWindow)
            closeWindow();
    }

    unevenness result() const
    {
        return unevenness {
            m_worst, m_countedWindows > 0 ? m_ratioSum / static_cast<double>(m_countedWindows) : 0};
    }

private:
    void closeWindow()
    {
        double sum = 0;
        double highest = 0;
        double servers = 0;
        for (std::size_t server = 0; server < m_sums.size(); ++server) {
            if (m_excluded[server])
                continue;
            sum += m_sums[server];
            highest = m_sums[server] > highest ? m_sums[server] : highest;
            servers += 1;
        }
        const double ratio = sum > 0 ? highest * servers / sum : 1;
        // Excludes the first minute, in which the servers fill up.
        constexpr std::size_t warmUp = 6;
        if (++m_closedWindows > warmUp) {
            m_worst = ratio > m_worst ? ratio : m_worst;
            m_ratioSum += ratio;
            ++m_countedWindows;
        }
        m_count = 0;
    }

    std::vector<double> m_sums;
    std::vector<bool> m_excluded;
    std::size_t m_count = 0;
    std::size_t m_closedWindows = 0;
    std::size_t m_countedWindows = 0;
    double m_worst = 0;
    double m_ratioSum = 0;
};

} // namespace lycheeshunt::crest
