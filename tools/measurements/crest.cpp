// Measures placement, admission and requests in a discrete-event simulation: requests answered at
// the peak of demand (the crest), queueing time of short requests behind long ones, and the
// imbalance between servers. Prints one JSON object per line.
//
//     build/measure_crest                  all parts except vary
//     build/measure_crest PART SEED        one part: crest, waits, unevenness, growth or silence
//     build/measure_crest vary [VARIANT]   changes one placement rule at a time

#include "crest/baseline_cluster.h"
#include "crest/figures.h"
#include "crest/real_cluster.h"

#include <chrono>
#include <string>
#include <vector>

using namespace lycheeshunt;
using namespace lycheeshunt::crest;

namespace {

constexpr std::int64_t minute = 60'000;

run_result runBaseline(const scenario &parameters, baseline_policy policy)
{
    return baseline_cluster(parameters, policy).run();
}

run_result runProduct(const scenario &parameters)
{
    return real_cluster(parameters).run();
}

void printCrest(const std::string &name, const scenario &parameters, const run_result &result,
                bool bounded)
{
    const std::optional<double> noBound;
    print({"crest answered in time, " + name, answeredInTimeShare(parameters, result),
           "share of what capacity allows", bounded ? std::optional(0.95) : noBound});
    print({"crest time to be told of a refusal, p99, " + name, refusalDelayMillis(result), "ms",
           bounded ? std::optional(50.0) : noBound});
}

void measureCrest()
{
    const scenario parameters {.duration = 10 * minute, .load = 0.5, .peakLoad = 2.0};
    printCrest("ours", parameters, runProduct(parameters), true);
    printCrest("ideal", parameters, runBaseline(parameters, baseline_policy::ideal), false);
    printCrest("random", parameters, runBaseline(parameters, baseline_policy::random), false);
    printCrest("least connections 2 s old", parameters,
               runBaseline(parameters, baseline_policy::staleLeastConnections), false);
    const scenario faulty {
        .duration = 10 * minute, .load = 0.5, .peakLoad = 2.0, .callerFaults = true};
    const run_result result = runProduct(faulty);
    printCrest("ours with resends, cancellations and an agent lost", faulty, result, false);
    print({"crest work run twice", static_cast<double>(countRunTwice(result)), "requests", 0.0});
    print({"crest told not run but run", static_cast<double>(wronglyReportedNotRun(result)),
           "requests", 0.0});
}

void printWaits(const std::string &name, const wait_figures &waits, std::optional<double> bound)
{
    const std::string unit = "mean short service times";
    const std::string baseline = bound ? "ideal" : "";
    print({name + ", mean", waits.mean, unit, {}, baseline});
    print({name + ", p99", waits.p99, unit, bound, baseline});
    print({name + ", not run", waits.notRunShare, "share", {}, baseline});
}

void measureWaits(double load, std::uint32_t seed)
{
    constexpr double strictLoad = 0.75;
    const scenario parameters {
        .duration = 30 * minute, .load = load, .peakLoad = load, .seed = seed};
    const std::string name = "short wait at " + std::to_string(static_cast<int>(load * 100)) + "%";
    const wait_figures ideal = shortWorkWaits(runBaseline(parameters, baseline_policy::ideal));
    const double bound = load < strictLoad ? 0.25 : 1.5 * ideal.p99;
    printWaits(name + ", ours", shortWorkWaits(runProduct(parameters)), bound);
    printWaits(name + ", ideal", ideal, {});
    printWaits(name + ", random", shortWorkWaits(runBaseline(parameters, baseline_policy::random)),
               {});
    printWaits(name + ", least connections 2 s old",
               shortWorkWaits(runBaseline(parameters, baseline_policy::staleLeastConnections)), {});
}

void printUnevenness(const std::string &name, const unevenness &product, const unevenness &ideal)
{
    const std::string unit = "busiest over mean";
    print({name + ", worst window", product.worst, unit, 1.03 * ideal.worst, "ideal"});
    print({name + ", mean of windows", product.mean, unit, {}, "ideal"});
    print({name + " of the ideal, worst window", ideal.worst, unit, {}, ""});
    print({name + " of the ideal, mean of windows", ideal.mean, unit, {}, ""});
}

scenario unevennessScenario(const placement::placement_rules &rules, std::uint32_t seed)
{
    return scenario {
        .duration = 30 * minute, .feedRate = 3, .drains = true, .seed = seed, .rules = rules};
}

void measureUnevenness(std::uint32_t seed)
{
    const scenario parameters = unevennessScenario({}, seed);
    const run_result product = runProduct(parameters);
    const run_result ideal = runBaseline(parameters, baseline_policy::ideal);
    const run_result random = runBaseline(parameters, baseline_policy::random);
    printUnevenness("unevenness in busy slots", product.busy, ideal.busy);
    printUnevenness("unevenness in flows", product.flows, ideal.flows);
    print({"unevenness in busy slots of random, worst window",
           random.busy.worst,
           "busiest over mean",
           {},
           ""});
    print({"unevenness in flows of random, worst window",
           random.flows.worst,
           "busiest over mean",
           {},
           ""});
    print({"offers beyond the first a flow", meanOffers(product), "hops", {}, ""});
}

void measureGrowth(std::size_t servers)
{
    const scenario parameters {.servers = servers,
                               .duration = static_cast<std::int64_t>(300'000 / servers) + 15'000,
                               .seed = 4};
    real_cluster cluster(parameters);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const run_result result = cluster.run();
    const std::chrono::duration<double, std::nano> elapsed
        = std::chrono::steady_clock::now() - start;
    const std::string name = std::to_string(servers) + " servers";
    print({"time a placement decision with all that the model adds, " + name,
           elapsed.count() / static_cast<double>(cluster.placementDecisions()),
           "ns",
           {},
           ""});
    printWaits("short wait at 70%, " + name, shortWorkWaits(result), {});
}

void measureVariant(const std::string &name, const placement::placement_rules &rules)
{
    const run_result uneven = runProduct(unevennessScenario(rules, 3));
    print({"busy slots worst, " + name, uneven.busy.worst, "busiest over mean", {}, ""});
    print({"busy slots mean, " + name, uneven.busy.mean, "busiest over mean", {}, ""});
    print({"flows worst, " + name, uneven.flows.worst, "busiest over mean", {}, ""});
    print({"offers, " + name, meanOffers(uneven), "hops", {}, ""});
    for (const double load : {0.7, 0.95}) {
        const scenario parameters {
            .duration = 10 * minute, .load = load, .peakLoad = load, .seed = 2, .rules = rules};
        print({"short wait p99 at " + std::to_string(static_cast<int>(load * 100)) + "%, " + name,
               shortWorkWaits(runProduct(parameters)).p99,
               "mean short service times",
               {},
               ""});
    }
}

// Load reports of some agents pause for 3 s at a time and 10% of all reports are lost, while the
// servers keep working.
void measureReportLoss(const std::string &name, const placement::placement_rules &rules,
                       std::uint32_t seed)
{
    const scenario parameters {.duration = 30 * minute,
                               .feedRate = 3,
                               .reportLoss = 0.1,
                               .reportPauses = true,
                               .seed = seed,
                               .rules = rules};
    const run_result result = runProduct(parameters);
    print({"silent agents, " + name + ", busy slots worst",
           result.busy.worst,
           "busiest over mean",
           {},
           ""});
    print({"silent agents, " + name + ", busy slots mean",
           result.busy.mean,
           "busiest over mean",
           {},
           ""});
    printWaits("silent agents, " + name + ", short wait", shortWorkWaits(result), {});
}

void measureReportLosses(std::uint32_t seed)
{
    const base::clock_time second = base::clock_time::ofSeconds(1);
    measureReportLoss("suspected after 1 s", {}, seed);
    measureReportLoss("evicted after 1 s", {.evictAfter = second}, seed);
    measureReportLoss("believed for ever", {.suspectAfter = second * 3600}, seed);
}

struct variant
{
    const std::string name;
    const placement::placement_rules rules;
};

std::vector<variant> variants()
{
    return {
        {"as shipped", {}},
        {"one offer", {.maxOffers = 1}},
        {"two offers", {.maxOffers = 2}},
        {"three offers", {.maxOffers = 3}},
        {"four offers", {.maxOffers = 4}},
        {"seven offers", {.maxOffers = 7}},
        {"pass margin 0", {.forwardMargin = 0}},
        {"pass margin 0.15", {.forwardMargin = 0.15}},
        {"flow weight 0", {.flowWeight = 0}},
        {"flow weight 0.05", {.flowWeight = 0.05}},
        {"flow weight 0.1", {.flowWeight = 0.1}},
        {"flow weight 0.5", {.flowWeight = 0.5}},
        {"flows weigh up to a quarter of a slot", {.flowSlots = 0.25}},
        {"flows weigh up to two slots", {.flowSlots = 2}},
        {"no probes when full", {.probesWhenFull = false}},
        {"no requests for work", {.requestsWork = false}},
        {"zone weight 0", {.zoneWeight = 0}},
        {"zone weight 0.1", {.zoneWeight = 0.1}},
        {"no reports", {.reportBytesPerSecond = 0}},
        {"reports of 1 kB a second", {.reportBytesPerSecond = 1000}},
        {"reports of 2.6 kB a second", {.reportBytesPerSecond = 2600}},
        {"two peers", {.maxPeers = 2}},
    };
}

void measureVariants(const std::string &only)
{
    for (const variant &entry : variants()) {
        if (only.empty() || entry.name == only)
            measureVariant(entry.name, entry.rules);
    }
}

} // namespace

int main(int count, char **arguments)
{
    const std::string part = count > 1 ? arguments[1] : "";
    const std::uint32_t seed
        = count > 2 && part != "vary" ? static_cast<std::uint32_t>(std::stoul(arguments[2])) : 3;
    if (part == "vary")
        measureVariants(count > 2 ? arguments[2] : "");
    if (part.empty() || part == "crest")
        measureCrest();
    if (part.empty() || part == "waits") {
        for (const double load : {0.70, 0.85, 0.95})
            measureWaits(load, seed);
    }
    if (part.empty() || part == "unevenness")
        measureUnevenness(seed);
    if (part.empty() || part == "growth") {
        for (const std::size_t servers : {10U, 100U, 1000U})
            measureGrowth(servers);
    }
    if (part.empty() || part == "silence")
        measureReportLosses(seed);
    return 0;
}
