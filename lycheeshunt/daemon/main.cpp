// lycheeshuntd: an entry, agent or control process, as its settings say.

#include "lycheeshunt/base/build_identity.h"
#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/daemon/agent_process.h"
#include "lycheeshunt/daemon/control_process.h"
#include "lycheeshunt/daemon/entry_process.h"
#include "lycheeshunt/daemon/internal/metrics_endpoint.h"
#include "lycheeshunt/daemon/process_signals.h"
#include "lycheeshunt/daemon/settings_watch.h"
#include "lycheeshunt/settings/settings_file.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace lycheeshunt;

enum exit_status : int { success = 0, badSettings = 2, startFailed = 3 };

// The interval at which the settings file is checked for changes.
constexpr base::clock_time settingsPollInterval = base::clock_time::ofSeconds(5);

template <typename process_type>
int runUntilStopped(const base::result<std::unique_ptr<process_type>> &process,
                    const settings::node_settings &settings, const std::string &path,
                    const daemon::process_signals &signals)
{
    if (const base::error *failure = base::errorOf(process)) {
        base::logError("daemon", failure->text());
        return startFailed;
    }
    const base::result<std::unique_ptr<daemon::internal::metrics_endpoint>> metrics
        = daemon::internal::metrics_endpoint::open(
            settings.metrics, {[&process]() { return base::valueOf(process)->metrics(); }});
    if (const base::error *failure = base::errorOf(metrics)) {
        base::logError("daemon", failure->text());
        return startFailed;
    }
    base::logInfo("daemon", "started, sources " + std::string(base::sourceDigest()));
    daemon::settings_watch watch(path, settings);
    while (signals.wait(settingsPollInterval) != daemon::process_signal::stop)
        watch.poll();
    base::logInfo("daemon", "stopping");
    return success;
}

int run(const settings::node_settings &settings, const std::string &path)
{
    const daemon::process_signals signals;
    base::startLog(settings.name);
    const int status
        = std::visit(base::overloaded {
                         [&](const settings::entry_settings &own) {
                             return runUntilStopped(daemon::entry_process::start(settings, own),
                                                    settings, path, signals);
                         },
                         [&](const settings::agent_settings &own) {
                             return runUntilStopped(daemon::agent_process::start(settings, own),
                                                    settings, path, signals);
                         },
                         [&](const settings::control_settings &own) {
                             return runUntilStopped(daemon::control_process::start(settings, own),
                                                    settings, path, signals);
                         },
                     },
                     settings.role);
    base::stopLog();
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("lycheeshuntd: entry, agent or control process of a layer-4 load balancer");
    std::string path;
    bool checkOnly = false;
    app.add_option("--config", path, "settings file (TOML)")->required();
    app.add_flag("--check", checkOnly, "check the settings and start nothing");
    app.set_version_flag("--version", "sources " + std::string(base::sourceDigest()));
    CLI11_PARSE(app, argc, argv);

    const base::result<settings::node_settings> settings = settings::readSettings(path);
    if (const base::error *failure = base::errorOf(settings)) {
        std::cerr << failure->text() << "\n";
        return badSettings;
    }
    if (checkOnly)
        return success;
    int status = startFailed;
    base::runGuarded("daemon", [&]() { status = run(base::valueOf(settings), path); });
    return status;
}
