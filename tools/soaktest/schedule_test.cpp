#include "tools/soaktest/schedule.h"
#include "tools/soaktest/topology.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace lycheeshunt;
using namespace lycheeshunt::soak;

namespace {

constexpr base::clock_time length = base::clock_time::ofSeconds(20);

std::vector<planned_order> scheduleOf(std::uint64_t seed)
{
    return scheduleFor(defaultTopology(), seed, length);
}

} // namespace

TEST_GROUP(schedule) {};

// A failure could not be reproduced if anything but the seed and the length mattered.
TEST(schedule, dependsOnTheSeedAlone)
{
    CHECK(scheduleOf(7) == scheduleOf(7));
    CHECK_FALSE(scheduleOf(7) == scheduleOf(8));
}

// A process that stays down would make the checks at the end fail for no fault of the product.
TEST(schedule, everyFaultEndsAndNoneOverlapsAnotherOfItsProcess)
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::map<std::string, process_change> current;
        base::clock_time last;
        for (const planned_order &planned : scheduleOf(seed)) {
            CHECK(last <= planned.at && planned.at <= length);
            last = planned.at;
            const process_order *order = std::get_if<process_order>(&planned.order);
            if (order == nullptr)
                continue;
            const auto found = current.find(order->process);
            const bool isDown = found != current.end();
            if (order->change == process_change::start)
                CHECK(isDown && found->second != process_change::pause);
            if (order->change == process_change::resume)
                CHECK(isDown && found->second == process_change::pause);
            const bool ends
                = order->change == process_change::start || order->change == process_change::resume;
            CHECK(ends == isDown);
            if (ends)
                current.erase(found);
            else
                current.emplace(order->process, order->change);
        }
        CHECK(current.empty());
    }
}

// A kind of fault that no seed draws would leave the product untested.
TEST(schedule, seedsCoverAllChangesOfAllProcesses)
{
    std::set<std::pair<std::string, process_change>> seen;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        for (const planned_order &planned : scheduleOf(seed)) {
            if (const process_order *order = std::get_if<process_order>(&planned.order))
                seen.emplace(order->process, order->change);
        }
    }
    constexpr std::size_t processes = 9;
    constexpr std::size_t changes = 5;
    CHECK_EQUAL(processes * changes, seen.size());
}

// A zone that stayed evacuated would refuse flows of the next checks, and a drain that is not
// followed by a stop would test nothing.
TEST(schedule, everyZoneAndAgentReturnsToService)
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::set<std::string> out;
        std::size_t evacuations = 0;
        for (const planned_order &planned : scheduleOf(seed)) {
            if (const zone_order *order = std::get_if<zone_order>(&planned.order)) {
                ++evacuations;
                const bool isChanged = order->isEvacuated ? out.insert(order->zone).second
                                                          : out.erase(order->zone) == 1;
                CHECK(isChanged);
            }
            if (const drain_order *order = std::get_if<drain_order>(&planned.order)) {
                const bool isChanged = order->isDraining ? out.insert(order->agent).second
                                                         : out.erase(order->agent) == 1;
                CHECK(isChanged);
            }
        }
        CHECK(out.empty());
        const bool evacuates = seed / 3 % 2 == 1;
        CHECK_EQUAL(evacuates ? 2 : 0, evacuations);
    }
}

// A control VM that stayed cut off would make the checks at the end fail for no fault of the
// product.
TEST(schedule, everyFaultOfStreamsEnds)
{
    std::set<std::size_t> kinds;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::set<std::string> faulty;
        for (const planned_order &planned : scheduleOf(seed)) {
            const link_order *order = std::get_if<link_order>(&planned.order);
            if (order == nullptr)
                continue;
            kinds.insert(order->fault.index());
            if (std::holds_alternative<link_clear>(order->fault)) {
                CHECK(!order->isPartial);
                CHECK_EQUAL(1, faulty.erase(order->control));
            } else if (!std::holds_alternative<link_reset>(order->fault)) {
                CHECK(faulty.insert(order->control).second);
            }
        }
        CHECK(faulty.empty());
    }
    CHECK_EQUAL(std::variant_size_v<link_fault>, kinds.size());
}

// Only a run without kills and pauses can show that planned work alone broke a flow.
TEST(schedule, everyThirdSeedHasPlannedWorkOnly)
{
    for (const planned_order &planned : scheduleOf(3)) {
        CHECK_FALSE(std::holds_alternative<link_order>(planned.order));
        if (const process_order *order = std::get_if<process_order>(&planned.order))
            CHECK(order->change == process_change::stop || order->change == process_change::start);
    }
}
