// Runs the product's processes on loopback under injected faults and checks what callers, backend
// servers and operators observe (docs/SOAK.md).

#include "tools/soaktest/schedule.h"
#include "tools/soaktest/soak_run.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace lycheeshunt;

enum exit_status : int { passed = 0, checkFailed = 1, couldNotRun = 2 };

void write(std::ostream &out, const soak::soak_options &options, const soak::soak_result &result)
{
    out << "seed " << options.seed << ", " << options.length.millis() << " ms: "
        << (!result.obstacle.empty() ? "could not run: " + result.obstacle
                : result.violations.empty()
                ? "passed"
                : std::to_string(result.violations.size()) + " violations")
        << "\n";
    if (!result.obstacle.empty() || !result.violations.empty()) {
        out << "  logs: " << result.folder << "\n";
        for (const std::string &line : result.timeline)
            out << "  " << line << "\n";
    }
    for (const soak::violation &each : result.violations)
        out << "  violation, seed " << options.seed << ", " << each.at.millis()
            << " ms: " << each.check << ": " << each.details << "\n";
    out << std::flush;
}

int runSeed(const soak::soak_options &options, const std::string &report)
{
    const soak::soak_result result = soak::soak_run(options).run();
    write(std::cout, options, result);
    if (!report.empty()) {
        std::ofstream file(report, std::ios::app);
        write(file, options, result);
    }
    if (!result.violations.empty())
        return checkFailed;
    return result.obstacle.empty() ? passed : couldNotRun;
}

// "7" or "7..9".
std::pair<std::uint64_t, std::uint64_t> parseSeeds(const std::string &text)
{
    const std::size_t dots = text.find("..");
    const std::uint64_t first = std::stoull(text.substr(0, dots));
    return {first, dots == std::string::npos ? first : std::stoull(text.substr(dots + 2))};
}

int run(const std::string &seeds, soak::soak_options options, bool printsSchedule,
        const std::string &report)
{
    const std::pair<std::uint64_t, std::uint64_t> range = parseSeeds(seeds);
    int status = passed;
    for (options.seed = range.first; options.seed <= range.second; ++options.seed) {
        if (printsSchedule) {
            for (const soak::planned_order &planned :
                 soak::scheduleFor(soak::defaultTopology(), options.seed, options.length))
                std::cout << textOf(planned) << "\n";
            continue;
        }
        const int outcome = runSeed(options, report);
        // A violation counts more than a run that could not be done.
        status = status == checkFailed || outcome == passed ? status : outcome;
    }
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("fault-injection soak test");
    std::string seeds = "1";
    std::string report;
    std::string program;
    std::int64_t seconds = 20;
    bool printsSchedule = false;
    app.add_option("--seed,--seeds", seeds, "N or A..B");
    app.add_option("--seconds", seconds, "length of the schedule")->check(CLI::Range(5, 86'400));
    app.add_option("--report", report, "appends results to this file");
    app.add_option("--program", program, "path of lycheeshuntd")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_flag("--print-schedule", printsSchedule, "prints the schedule and runs nothing");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &failure) {
        const int status = app.exit(failure);
        return status == 0 ? passed : couldNotRun;
    }
    try {
        return run(seeds, {1, base::clock_time::ofSeconds(seconds), program}, printsSchedule,
                   report);
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << "\n";
        return couldNotRun;
    }
}
