#include "tools/soaktest/deployment.h"

#include "lycheeshunt/base/free_endpoint_test.h"

#include <sys/wait.h>

#include <fstream>

namespace lycheeshunt::soak {

namespace {

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

std::string setting(const std::string &key, const std::string &value)
{
    return key + " = " + quoted(value) + "\n";
}

} // namespace

deployment::deployment(topology layout, std::string program, std::filesystem::path folder,
                       base::endpoint fabric)
    : m_topology(std::move(layout)), m_program(std::move(program)), m_folder(std::move(folder)),
      m_fabric(fabric)
{
    for (const std::string &process : processes()) {
        const base::endpoint main = base::freeEndpoint();
        const base::endpoint side = base::freeEndpoint();
        const base::endpoint far = base::freeEndpoint();
        m_addresses.emplace(process, process_addresses {main, side, far});
    }
    for (const std::string &control : m_topology.controls)
        writeSettings(control, controlSettings(control));
    for (const std::string &entry : m_topology.entries)
        writeSettings(entry,
                      setting("role", "entry") + setting("availability_zone", "zone-1")
                          + "[entry]\n" + setting("packets", addressesOf(entry).main.text())
                          + setting("hints", addressesOf(entry).side.text())
                          + setting("fabric", m_fabric.text()));
    for (auto it = m_topology.backends.begin(); it != m_topology.backends.end(); ++it)
        writeSettings(it->first, agentSettings(it->first, it->second));
}

std::vector<std::string> deployment::processes() const
{
    std::vector<std::string> all = m_topology.controls;
    all.insert(all.end(), m_topology.entries.begin(), m_topology.entries.end());
    for (auto it = m_topology.backends.begin(); it != m_topology.backends.end(); ++it)
        all.push_back(it->first);
    return all;
}

void deployment::writeSettings(const std::string &process, const std::string &own) const
{
    std::string controls;
    for (const std::string &control : m_topology.controls)
        controls += (controls.empty() ? "" : ", ") + quoted(addressesOf(control).far.text());
    std::ofstream(m_folder / (process + ".toml"))
        << setting("name", process) << "control_addresses = [" << controls << "]\n"
        << own;
}

std::string deployment::controlSettings(const std::string &process) const
{
    std::string text = setting("role", "control") + setting("availability_zone", process)
        + "[control]\n" + setting("streams", addressesOf(process).main.text())
        + setting("api", addressesOf(process).side.text())
        + setting("data_folder", (m_folder / (process + "-data")).string());
    for (const std::string &control : m_topology.controls)
        text += "[[control.peers]]\n" + setting("name", control)
            + setting("streams", addressesOf(control).far.text());
    return text;
}

std::string deployment::agentSettings(const std::string &process, const backend_place &place) const
{
    const process_addresses &own = addressesOf(process);
    return setting("role", "agent") + setting("availability_zone", place.zone) + "[agent]\n"
        + setting("service", place.service) + setting("packets", own.main.text())
        + setting("server_side", own.side.text()) + setting("server", own.far.text())
        + setting("fabric", m_fabric.text());
}

const process_addresses &deployment::addressesOf(const std::string &process) const
{
    return m_addresses.at(process);
}

std::vector<base::endpoint> deployment::controlApis() const
{
    std::vector<base::endpoint> all;
    for (const std::string &control : m_topology.controls)
        all.push_back(addressesOf(control).side);
    return all;
}

std::vector<base::endpoint> deployment::entryPackets() const
{
    std::vector<base::endpoint> all;
    for (const std::string &entry : m_topology.entries)
        all.push_back(addressesOf(entry).main);
    return all;
}

void deployment::startAll()
{
    for (const std::string &process : processes())
        change({process, process_change::start});
}

void deployment::change(const process_order &order)
{
    if (order.change == process_change::start) {
        const std::string settings = (m_folder / (order.process + ".toml")).string();
        const std::string log = (m_folder / (order.process + ".log")).string();
        m_running[order.process] = std::make_unique<child_process>(
            std::vector<std::string> {m_program, "--config", settings}, log);
    } else if (isRunning(order.process)) {
        m_running.at(order.process)->signal(order.change);
    }
}

bool deployment::isRunning(const std::string &process) const
{
    return m_running.count(process) > 0;
}

std::vector<process_exited> deployment::reap()
{
    std::vector<process_exited> ended;
    for (auto it = m_running.begin(); it != m_running.end();) {
        const std::optional<int> status = it->second->reap();
        if (!status) {
            ++it;
            continue;
        }
        ended.push_back({it->first, it->second->isEnding(),
                         WIFEXITED(*status) ? WEXITSTATUS(*status) : 0,
                         WIFSIGNALED(*status) ? WTERMSIG(*status) : 0});
        it = m_running.erase(it);
    }
    return ended;
}

std::vector<fault_logged> deployment::loggedFaults() const
{
    std::vector<fault_logged> faults;
    for (const std::string &process : processes()) {
        std::ifstream log(m_folder / (process + ".log"));
        for (std::string line; std::getline(log, line);) {
            if (line.find(" level=error ") != std::string::npos)
                faults.push_back({process, line});
        }
    }
    return faults;
}

} // namespace lycheeshunt::soak
