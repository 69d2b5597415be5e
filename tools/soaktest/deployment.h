// The processes of one run on loopback: settings, start, signals and exits.

#pragma once

#include "tools/soaktest/child_process.h"
#include "tools/soaktest/observation.h"
#include "tools/soaktest/process_addresses.h"
#include "tools/soaktest/topology.h"

#include <filesystem>
#include <memory>

namespace lycheeshunt::soak {

class deployment
{
public:
    // The folder takes settings, logs and the data of control VMs.
    deployment(topology layout, std::string program, std::filesystem::path folder,
               base::endpoint fabric);

    const process_addresses &addressesOf(const std::string &process) const;
    std::vector<base::endpoint> controlApis() const;
    std::vector<base::endpoint> entryPackets() const;

    void startAll();
    void change(const process_order &order);
    bool isRunning(const std::string &process) const;
    bool areAllEnded() const { return m_running.empty(); }
    // The processes that ended since the last call.
    std::vector<process_exited> reap();
    // Lines of level error in the logs of all processes.
    std::vector<fault_logged> loggedFaults() const;

private:
    void writeSettings(const std::string &process, const std::string &own) const;
    std::string controlSettings(const std::string &process) const;
    std::string agentSettings(const std::string &process, const backend_place &place) const;
    std::vector<std::string> processes() const;

    const topology m_topology;
    const std::string m_program;
    const std::filesystem::path m_folder;
    const base::endpoint m_fabric;
    std::map<std::string, process_addresses> m_addresses;
    std::map<std::string, std::unique_ptr<child_process>> m_running;
};

} // namespace lycheeshunt::soak
