#include "tools/soaktest/schedule.h"

#include "lycheeshunt/base/overloaded.h"
#include "tools/soaktest/topology.h"

#include <algorithm>
#include <random>
#include <set>

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

// Seeds rotate through these so that a failure under planned work alone can be distinguished from
// others.
enum class schedule_style { plannedOnly, oneAtATime, overlapping };
constexpr std::uint64_t styleCount = 3;

constexpr clock_time firstOrderAt = clock_time::ofMillis(500);
constexpr clock_time shortestOutage = clock_time::ofMillis(500);
constexpr clock_time longestOutage = clock_time::ofMillis(3000);

class schedule_builder
{
public:
    schedule_builder(const topology &deployment, std::uint64_t seed, clock_time length)
        : m_random(seed), m_style(static_cast<schedule_style>(seed % styleCount)), m_length(length),
          m_evacuates(seed / styleCount % 2 == 1)
    {
        m_controls = deployment.controls;
        m_processes = deployment.controls;
        m_processes.insert(m_processes.end(), deployment.entries.begin(), deployment.entries.end());
        for (auto it = deployment.backends.begin(); it != deployment.backends.end(); ++it)
            m_agents.insert(it->first);
        m_processes.insert(m_processes.end(), m_agents.begin(), m_agents.end());
    }

    std::vector<planned_order> build()
    {
        addProcessFaults();
        if (m_evacuates)
            addEvacuation();
        if (m_style != schedule_style::plannedOnly)
            addLinkFaults();
        std::stable_sort(
            m_orders.begin(), m_orders.end(),
            [](const planned_order &a, const planned_order &b) { return a.at < b.at; });
        return std::move(m_orders);
    }

private:
    clock_time between(clock_time least, clock_time most)
    {
        const std::uint64_t span = static_cast<std::uint64_t>((most - least).millis()) + 1;
        return least + clock_time::ofMillis(static_cast<std::int64_t>(m_random() % span));
    }

    void addProcessFaults()
    {
        std::map<std::string, clock_time> busyUntil;
        for (clock_time at = firstOrderAt; at + longestOutage <= m_length;) {
            const std::string &process = m_processes[m_random() % m_processes.size()];
            const clock_time outage = between(shortestOutage, longestOutage);
            // Two faults of one process never overlap: a paused process would not end on SIGTERM.
            if (busyUntil[process] > at) {
                at = at + clock_time::ofMillis(100);
                continue;
            }
            addFault(process, at, outage);
            busyUntil[process] = at + outage + shortestOutage;
            at = m_style == schedule_style::overlapping
                ? at + between(clock_time::ofMillis(200), clock_time::ofMillis(1500))
                : at + outage + between(clock_time::ofMillis(300), clock_time::ofMillis(1500));
        }
    }

    // The order is in force long enough for the check, which begins 5 s after all VMs have it.
    void addEvacuation()
    {
        const std::string zone = "zone-" + std::to_string(1 + m_random() % 2);
        const clock_time at = between(firstOrderAt, m_length / 6);
        m_orders.push_back({at, zone_order {zone, true}});
        m_orders.push_back(
            {m_length - between(clock_time(), m_length / 8), zone_order {zone, false}});
    }

    void addLinkFaults()
    {
        for (clock_time at = between(firstOrderAt, m_length / 4); at + longestOutage <= m_length;
             at = at + between(m_length / 8, m_length / 3)) {
            const std::string &control = m_controls[m_random() % m_controls.size()];
            const bool isPartial = m_random() % 2 == 0;
            const link_fault fault = drawLinkFault();
            m_orders.push_back({at, link_order {control, isPartial, fault}});
            if (std::holds_alternative<link_reset>(fault))
                continue;
            at = at + between(shortestOutage, longestOutage);
            m_orders.push_back({at, link_order {control, false, link_clear {}}});
        }
    }

    link_fault drawLinkFault()
    {
        constexpr std::uint64_t kinds = 5;
        switch (m_random() % kinds) {
        case 0:
            return link_delay {between(clock_time::ofMillis(50), clock_time::ofMillis(800))};
        case 1:
            return link_reset {};
        case 2:
            return link_silence {true, false};
        case 3:
            return link_silence {false, true};
        default:
            return link_silence {true, true};
        }
    }

    void addFault(const std::string &process, clock_time at, clock_time outage)
    {
        constexpr process_change changes[]
            = {process_change::stop, process_change::kill, process_change::pause};
        const process_change drawn = changes[m_random() % std::size(changes)];
        const process_change change
            = m_style == schedule_style::plannedOnly ? process_change::stop : drawn;
        const process_change end
            = change == process_change::pause ? process_change::resume : process_change::start;
        // Planned work on an agent begins with a drain in every second case.
        const bool isAgent = m_agents.count(process) > 0;
        const bool drains
            = isAgent && m_style == schedule_style::plannedOnly && m_random() % 2 == 0;
        if (drains)
            m_orders.push_back({at, drain_order {process, true}});
        m_orders.push_back({at, process_order {process, change}});
        m_orders.push_back({at + outage, process_order {process, end}});
        if (drains)
            m_orders.push_back({at + outage, drain_order {process, false}});
    }

    std::mt19937_64 m_random;
    const schedule_style m_style;
    const clock_time m_length;
    // While a zone is evacuated each service has one agent that accepts flows, so that nothing can
    // go wrong between two. Every second group of three seeds has no evacuation.
    const bool m_evacuates;
    std::vector<std::string> m_controls;
    std::vector<std::string> m_processes;
    std::set<std::string> m_agents;
    std::vector<planned_order> m_orders;
};

std::string textOf(const link_fault &fault)
{
    return std::visit(base::overloaded {
                          [](const link_clear &) { return std::string("clear"); },
                          [](const link_delay &f) {
                              return "delay by " + std::to_string(f.delay.millis()) + " ms";
                          },
                          [](const link_silence &f) {
                              return std::string("silence ")
                                  + (f.toControl && f.fromControl ? "both directions of"
                                         : f.toControl            ? "towards control"
                                                                  : "from control");
                          },
                          [](const link_reset &) { return std::string("reset"); },
                      },
                      fault);
}

constexpr const char *changeNames[] = {"stop", "kill", "pause", "resume", "start"};

} // namespace

std::vector<planned_order> scheduleFor(const topology &deployment, std::uint64_t seed,
                                       clock_time length)
{
    return schedule_builder(deployment, seed, length).build();
}

std::string textOf(const soak_order &order)
{
    return std::visit(
        base::overloaded {
            [](const process_order &o) {
                return std::string(changeNames[static_cast<std::size_t>(o.change)]) + " "
                    + o.process;
            },
            [](const zone_order &o) { return (o.isEvacuated ? "evacuate " : "restore ") + o.zone; },
            [](const drain_order &o) { return (o.isDraining ? "drain " : "undrain ") + o.agent; },
            [](const link_order &o) {
                return textOf(o.fault) + " the " + (o.isPartial ? "second " : "") + "streams of "
                    + o.control;
            },
        },
        order);
}

std::string textOf(const planned_order &planned)
{
    return std::to_string(planned.at.millis()) + " ms: " + textOf(planned.order);
}

} // namespace lycheeshunt::soak
