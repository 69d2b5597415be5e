// Control groups that find their members from seeds: a table of cases, driven without sockets and
// disks. A VM that loses its disk comes back with another identity.

#include "lycheeshunt/replication/decision.h"

#include "lycheeshunt/replication/recovered_storage.h"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace lycheeshunt;
using namespace lycheeshunt::replication;

namespace {

constexpr std::int64_t tickMillis = 25;

base::endpoint endpointOf(std::size_t number)
{
    return base::endpoint {0x0a000000 + static_cast<std::uint32_t>(number), 7720};
}

} // namespace

TEST_GROUP(open_group)
{
    struct vm
    {
        std::unique_ptr<replica_state> state;
        std::map<base::node_id, base::endpoint> addresses = {};
        bool isUp = true;
        std::vector<log_entry> committed = {};
    };

    struct posted
    {
        std::size_t from;
        base::endpoint to;
        peer_envelope envelope;
    };

    std::map<std::size_t, vm> vms;
    std::deque<posted> mail;
    std::set<std::pair<std::size_t, std::size_t>> cut;
    std::uint64_t lastStorage = 0;
    std::int64_t now = 0;

    void start(std::size_t number, bool mayBootstrap,
               const std::vector<std::size_t> &seeds = {1, 2, 3})
    {
        std::vector<base::endpoint> addresses;
        addresses.reserve(seeds.size());
        for (const std::size_t seed : seeds)
            addresses.push_back(endpointOf(seed));
        const replica_settings settings {"control-" + std::to_string(number),
                                         {},
                                         {},
                                         {},
                                         {},
                                         endpointOf(number),
                                         addresses,
                                         mayBootstrap,
                                         1};
        vms.erase(number);
        vms.emplace(number,
                    vm {std::make_unique<replica_state>(startReplica(
                        std::make_shared<const replica_settings>(settings),
                        recovered_storage {storage_id(++lastStorage), {}, nullptr},
                        static_cast<std::uint32_t>(number), base::clock_time::ofMillis(now)))});
    }

    // With its disk as it was.
    void startAgain(std::size_t number)
    {
        const replica_state &before = *vms.at(number).state;
        const recovered_storage disk {
            before.storage, hard_state {before.term, before.vote()}, before.latestSnapshot,
            before.log.between(before.log.baseIndex(), before.log.lastIndex())};
        vms.at(number).state = std::make_unique<replica_state>(
            startReplica(before.settings, disk, static_cast<std::uint32_t>(now + number),
                         base::clock_time::ofMillis(now)));
        vms.at(number).isUp = true;
    }

    void give(std::size_t number, const replica_message &message)
    {
        vm &self = vms.at(number);
        base::step<replica_state, replica_action> next
            = decide(std::move(*self.state), message, base::clock_time::ofMillis(now));
        self.state = std::make_unique<replica_state>(std::move(next.state));
        for (const replica_action &action : next.actions)
            carryOut(number, self, action);
    }

    void carryOut(std::size_t number, vm & self, const replica_action &action)
    {
        if (const send_to_address *greeting = std::get_if<send_to_address>(&action)) {
            mail.push_back(posted {number, greeting->to, greeting->envelope});
        } else if (const set_peer_address *located = std::get_if<set_peer_address>(&action)) {
            self.addresses.erase(located->node);
            self.addresses.emplace(located->node, located->streams);
        } else if (const peer_envelope *envelope = std::get_if<peer_envelope>(&action)) {
            const auto known = self.addresses.find(envelope->to.node);
            if (known != self.addresses.end())
                mail.push_back(posted {number, known->second, *envelope});
        } else if (const commit_entries *done = std::get_if<commit_entries>(&action)) {
            for (const log_entry &entry : done->entries)
                self.committed.push_back(entry);
        }
    }

    void deliver()
    {
        std::deque<posted> round;
        round.swap(mail);
        for (const posted &letter : round) {
            const std::size_t to = letter.to.address - 0x0a000000;
            const auto receiver = vms.find(to);
            if (receiver != vms.end() && receiver->second.isUp && cut.count({letter.from, to}) == 0)
                give(to, letter.envelope);
        }
    }

    void run(std::int64_t millis)
    {
        for (const std::int64_t until = now + millis; now < until; now += tickMillis) {
            for (auto it = vms.begin(); it != vms.end(); ++it) {
                if (it->second.isUp)
                    give(it->first, replica_tick {});
            }
            for (int hop = 0; hop < 4; ++hop)
                deliver();
        }
    }

    std::vector<std::size_t> leaders() const
    {
        std::vector<std::size_t> found;
        for (auto it = vms.begin(); it != vms.end(); ++it) {
            if (it->second.isUp && leadershipOf(*it->second.state).isLeader)
                found.push_back(it->first);
        }
        return found;
    }

    std::size_t voters(std::size_t number) const
    {
        const replica_state &state = *vms.at(number).state;
        return state.isFormed() ? state.members().voterCount() : 0;
    }

    void cutOff(const std::vector<std::size_t> &some)
    {
        for (const std::size_t one : some) {
            for (auto it = vms.begin(); it != vms.end(); ++it) {
                if (std::find(some.begin(), some.end(), it->first) == some.end()) {
                    cut.insert({one, it->first});
                    cut.insert({it->first, one});
                }
            }
        }
    }

    void formFive()
    {
        for (std::size_t number = 1; number <= 5; ++number)
            start(number, true);
        run(6000);
        CHECK_EQUAL(1U, leaders().size());
        CHECK_EQUAL(5U, voters(leaders().front()));
    }

    // Has a payload committed; false when the leader can't.
    bool commit(const std::string &payload)
    {
        if (leaders().size() != 1)
            return false;
        const std::size_t leader = leaders().front();
        give(leader, propose_entries {{proposal {entry_kind::ticket, payload}}});
        run(300);
        return holds(leader, payload);
    }

    bool holds(std::size_t number, const std::string &payload) const
    {
        for (const log_entry &entry : vms.at(number).committed) {
            if (entry.payload == payload)
                return true;
        }
        return false;
    }
};

TEST(open_group, seedsFoundOneGroupInWhateverOrderTheyStartAndTheOthersJoin)
{
    start(4, true);
    run(700);
    start(2, true);
    run(900);
    start(5, true);
    start(3, true);
    run(2000);
    CHECK(leaders().empty());
    start(1, true);
    run(6000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK_EQUAL(5U, voters(leaders().front()));
}

// After a power loss of all VMs the group serves as soon as a quorum is up; those that were up
// before have asked for votes in vain by then.
TEST(open_group, whereAllHaveRestartedAQuorumElectsAtOnce)
{
    formFive();
    for (int round = 0; round < 10; ++round) {
        for (auto it = vms.begin(); it != vms.end(); ++it)
            it->second.isUp = false;
        run(500);
        startAgain(1);
        startAgain(2);
        run(1000);
        CHECK(leaders().empty());
        startAgain(3 + static_cast<std::size_t>(round) % 3);
        run(300);
        CHECK_EQUAL(1U, leaders().size());
        for (std::size_t number = 1; number <= 5; ++number) {
            if (!vms.at(number).isUp)
                startAgain(number);
        }
        run(1000);
    }
}

TEST(open_group, anEmptyVmThatReplacesAnotherNeverFoundsAGroup)
{
    for (std::size_t number = 1; number <= 3; ++number)
        start(number, false);
    run(20'000);
    CHECK(leaders().empty());
    for (std::size_t number = 1; number <= 3; ++number)
        CHECK_FALSE(vms.at(number).state->isFormed());
}

TEST(open_group, theGroupGrowsToNine)
{
    formFive();
    for (std::size_t number = 6; number <= 9; ++number)
        start(number, false);
    run(8000);
    CHECK_EQUAL(9U, voters(leaders().front()));
}

TEST(open_group, aVmWhoseSeedsAreAllGoneIsStillFoundByTheOthers)
{
    formFive();
    // The seeds that the newcomer knows are not members; member 5 was told of the newcomer.
    start(6, false, {4});
    run(4000);
    CHECK_EQUAL(6U, voters(leaders().front()));
}

TEST(open_group, aVmThatIsReplacedAtAnotherAddressLeavesTheQuorum)
{
    formFive();
    for (std::size_t round = 0; round < 4; ++round) {
        vms.at(round + 1).isUp = false;
        run(500);
        start(6 + round, false, {2, 3, 5});
        run(9000);
        CHECK_EQUAL(1U, leaders().size());
        CHECK_EQUAL(5U, voters(leaders().front()));
        CHECK(commit("after replacement " + std::to_string(round)));
    }
}

TEST(open_group, aSilentVmIsTakenBackWhenItReturns)
{
    formFive();
    const std::size_t silent = leaders().front() == 5 ? 4 : 5;
    cutOff({silent});
    run(8000);
    CHECK_EQUAL(4U, voters(leaders().front()));
    CHECK(commit("while it was away"));
    cut.clear();
    run(4000);
    CHECK_EQUAL(5U, voters(leaders().front()));
    CHECK(holds(silent, "while it was away"));
}

TEST(open_group, theGroupNeverShrinksBelowWhatADiskLossMayTake)
{
    formFive();
    const std::size_t leader = leaders().front();
    std::size_t down = 0;
    for (std::size_t number = 1; number <= 5 && down < 2; ++number) {
        if (number != leader) {
            vms.at(number).isUp = false;
            ++down;
        }
    }
    run(12'000);
    CHECK_EQUAL(3U, voters(leader));
    for (std::size_t number = 1; number <= 5; ++number) {
        if (number != leader && vms.at(number).isUp && down < 3) {
            vms.at(number).isUp = false;
            ++down;
        }
    }
    run(12'000);
    CHECK_EQUAL(3U, voters(leader));
}

TEST(open_group, aWipedDiskComesBackAsANewVoterAndNothingIsLost)
{
    formFive();
    CHECK(commit("before"));
    const std::size_t leader = leaders().front();
    start(leader, false);
    run(8000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK_EQUAL(5U, voters(leaders().front()));
    CHECK(holds(leaders().front(), "before"));
    run(2000);
    CHECK(holds(leader, "before"));
}

// Two were cut off and missed a change; of the three that have it one loses its disk and the others
// lose power, and then the cut heals.
TEST(open_group, thoseThatAreBehindElectNobodyWithAnEmptyDisk)
{
    formFive();
    const std::size_t leader = leaders().front();
    std::vector<std::size_t> behind;
    std::vector<std::size_t> ahead;
    for (std::size_t number = 1; number <= 5; ++number)
        (number != leader && behind.size() < 2 ? behind : ahead).push_back(number);
    cutOff(behind);
    run(200);
    CHECK(commit("missed by two"));
    start(ahead.front(), false);
    vms.at(ahead[1]).isUp = false;
    vms.at(ahead[2]).isUp = false;
    cut.clear();
    run(10'000);
    CHECK(leaders().empty());
    vms.at(ahead[1]).isUp = true;
    vms.at(ahead[2]).isUp = true;
    run(8000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK(holds(leaders().front(), "missed by two"));
    for (const std::size_t number : behind)
        CHECK(holds(number, "missed by two"));
}

TEST(open_group, halvesHaveOneLeaderAtMostAndTheLargerGoesOn)
{
    formFive();
    const std::size_t leader = leaders().front();
    const std::size_t other = leader == 1 ? 2 : 1;
    cutOff({leader, other});
    run(6000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK(leaders().front() != leader);
    CHECK(commit("on the larger side"));
    cut.clear();
    run(6000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK(holds(leader, "on the larger side"));
}

TEST(open_group, aLeaderThatHearsNobodyGivesUpAndIsReplaced)
{
    formFive();
    const std::size_t deaf = leaders().front();
    for (std::size_t number = 1; number <= 5; ++number) {
        if (number != deaf)
            cut.insert({number, deaf});
    }
    run(6000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK(leaders().front() != deaf);
}
