// Busy slots and flows of each server in windows of 10 s.

#pragma once

#include <cstddef>
#include <vector>

namespace lycheeshunt::crest {

// Busiest server over the mean: the worst and the mean of all windows.
struct unevenness
{
    double worst = 0;
    double mean = 0;
};

class load_samples
{
public:
    // One sample of all servers; a draining one is left out of the window's figures.
    void add(const std::vector<double> &values, std::size_t draining)
    {
        constexpr std::size_t samplesPerWindow = 100;
        if (m_count == 0) {
            m_sums.assign(values.size(), 0);
            m_left.assign(values.size(), false);
        }
        for (std::size_t server = 0; server < values.size(); ++server)
            m_sums[server] += values[server];
        if (draining < values.size())
            m_left[draining] = true;
        if (++m_count == samplesPerWindow)
            closeWindow();
    }

    unevenness result() const
    {
        return unevenness {m_worst, m_windows > 0 ? m_total / static_cast<double>(m_windows) : 0};
    }

private:
    void closeWindow()
    {
        double sum = 0;
        double most = 0;
        double servers = 0;
        for (std::size_t server = 0; server < m_sums.size(); ++server) {
            if (m_left[server])
                continue;
            sum += m_sums[server];
            most = m_sums[server] > most ? m_sums[server] : most;
            servers += 1;
        }
        const double ratio = sum > 0 ? most * servers / sum : 1;
        // The first windows only fill the servers.
        constexpr std::size_t warmUp = 6;
        if (++m_seen > warmUp) {
            m_worst = ratio > m_worst ? ratio : m_worst;
            m_total += ratio;
            ++m_windows;
        }
        m_count = 0;
    }

    std::vector<double> m_sums;
    std::vector<bool> m_left;
    std::size_t m_count = 0;
    std::size_t m_seen = 0;
    std::size_t m_windows = 0;
    double m_worst = 0;
    double m_total = 0;
};

} // namespace lycheeshunt::crest
