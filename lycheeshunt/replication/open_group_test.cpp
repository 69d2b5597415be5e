// Open control groups, which discover their members through seeds, simulated without sockets and
// disks. A VM that loses its disk restarts with a new storage identity.

#include "lycheeshunt/replication/decision.h"

#include "lycheeshunt/replication/recovered_storage.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <utility>

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

    struct in_flight_message
    {
        std::size_t from;
        base::endpoint to;
        peer_envelope envelope;
    };

    std::map<std::size_t, vm> vms;
    std::deque<in_flight_message> inFlight;
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
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

    // Restarts the VM with the contents of its disk.
    void restart(std::size_t number)
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

    void dispatch(std::size_t number, const replica_message &message)
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
        if (const send_to_address *addressed = std::get_if<send_to_address>(&action)) {
            inFlight.push_back(in_flight_message {number, addressed->to, addressed->envelope});
        } else if (const set_peer_address *update = std::get_if<set_peer_address>(&action)) {
            self.addresses.erase(update->node);
            self.addresses.emplace(update->node, update->streams);
        } else if (const peer_envelope *envelope = std::get_if<peer_envelope>(&action)) {
            const auto known = self.addresses.find(envelope->to.node);
            if (known != self.addresses.end())
                inFlight.push_back(in_flight_message {number, known->second, *envelope});
        } else if (const commit_entries *committed = std::get_if<commit_entries>(&action)) {
            for (const log_entry &entry : committed->entries)
                self.committed.push_back(entry);
        }
    }

    void deliver()
    {
        std::deque<in_flight_message> due;
        due.swap(inFlight);
        for (const in_flight_message &message : due) {
            const std::size_t to = message.to.address - 0x0a000000;
            const auto receiver = vms.find(to);
            if (receiver != vms.end() && receiver->second.isUp
                && blockedLinks.count({message.from, to}) == 0)
                dispatch(to, message.envelope);
        }
    }

    void run(std::int64_t millis)
    {
        for (const std::int64_t until = now + millis; now < until; now += tickMillis) {
            for (auto it = vms.begin(); it != vms.end(); ++it) {
                if (it->second.isUp)
                    dispatch(it->first, replica_tick {});
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

    std::size_t voterCountOf(std::size_t number) const
    {
        const replica_state &state = *vms.at(number).state;
        return state.isFormed() ? state.members().voterCount() : 0;
    }

    void isolate(const std::vector<std::size_t> &isolated)
    {
        for (const std::size_t member : isolated) {
            for (auto it = vms.begin(); it != vms.end(); ++it) {
                if (std::find(isolated.begin(), isolated.end(), it->first) == isolated.end()) {
                    blockedLinks.insert({member, it->first});
                    blockedLinks.insert({it->first, member});
                }
            }
        }
    }

    void stopOthersThan(std::size_t leader, std::size_t count)
    {
        for (std::size_t number = 1; count > 0; ++number)
            count -= number != leader && std::exchange(vms.at(number).isUp, false) ? 1 : 0;
    }

    void formGroupOfFive()
    {
        for (std::size_t number = 1; number <= 5; ++number)
            start(number, true);
        run(6000);
        CHECK_EQUAL(1U, leaders().size());
        CHECK_EQUAL(5U, voterCountOf(leaders().front()));
    }

    // Commits a payload; false if there is not exactly one leader or it cannot commit.
    bool commit(const std::string &payload)
    {
        if (leaders().size() != 1)
            return false;
        const std::size_t leader = leaders().front();
        dispatch(leader, propose_entries {{proposal {entry_kind::ticket, payload}}});
        run(300);
        return hasCommitted(leader, payload);
    }

    bool hasCommitted(std::size_t number, const std::string &payload) const
    {
        const std::vector<log_entry> &committed = vms.at(number).committed;
        return std::any_of(committed.begin(), committed.end(),
                           [&payload](const log_entry &entry) { return entry.payload == payload; });
    }
};

TEST(open_group, seedsBootstrapOneGroupInAnyStartOrderAndOthersJoin)
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
    CHECK_EQUAL(5U, voterCountOf(leaders().front()));
}

// After a power loss of all VMs, a leader must be elected within 300 ms of the start of the VM that
// completes the quorum. The VMs that started earlier have failed pre-votes behind them and must not
// wait for a long election timeout.
TEST(open_group, quorumElectsAtOnceAfterAllHaveRestarted)
{
    formGroupOfFive();
    for (int round = 0; round < 10; ++round) {
        for (auto it = vms.begin(); it != vms.end(); ++it)
            it->second.isUp = false;
        run(500);
        restart(1);
        restart(2);
        run(1000);
        CHECK(leaders().empty());
        restart(3 + static_cast<std::size_t>(round) % 3);
        run(300);
        CHECK_EQUAL(1U, leaders().size());
        for (std::size_t number = 1; number <= 5; ++number) {
            if (!vms.at(number).isUp)
                restart(number);
        }
        run(1000);
    }
}

// A VM that restarts holds the nodes that connect to it until it knows the leader. It waited for
// the next heartbeat, or for its next presence message if the first was lost.
TEST(open_group, aVmThatHasRestartedLearnsTheLeaderAtOnce)
{
    formGroupOfFive();
    const std::size_t other = leaders().front() == 5 ? 4 : 5;
    for (std::int64_t round = 0; round < 12; ++round) {
        vms.at(other).isUp = false;
        run(500 + round / 2 * tickMillis);
        restart(other);
        if (round % 2 == 1) {
            isolate({other});
            run(2 * tickMillis);
            blockedLinks.clear();
            run(3 * tickMillis);
        }
        run(tickMillis);
        CHECK_FALSE(leadershipOf(*vms.at(other).state).leaderName.empty());
        run(1000);
    }
}

TEST(open_group, replacementVmsWithEmptyDisksNeverBootstrapAGroup)
{
    for (std::size_t number = 1; number <= 3; ++number)
        start(number, false);
    run(20'000);
    CHECK(leaders().empty());
    for (std::size_t number = 1; number <= 3; ++number)
        CHECK_FALSE(vms.at(number).state->isFormed());
}

TEST(open_group, groupGrowsToNine)
{
    formGroupOfFive();
    for (std::size_t number = 6; number <= 9; ++number)
        start(number, false);
    run(8000);
    CHECK_EQUAL(9U, voterCountOf(leaders().front()));
}

TEST(open_group, vmJoinsThroughAMemberThatIsNotASeed)
{
    formGroupOfFive();
    // The new VM knows only VM 4, a member that is not a seed; the others learn of it as a contact.
    start(6, false, {4});
    run(4000);
    CHECK_EQUAL(6U, voterCountOf(leaders().front()));
}

TEST(open_group, vmReplacedAtAnotherAddressLeavesTheQuorum)
{
    formGroupOfFive();
    for (std::size_t round = 0; round < 4; ++round) {
        vms.at(round + 1).isUp = false;
        run(500);
        start(6 + round, false, {2, 3, 5});
        run(9000);
        CHECK_EQUAL(1U, leaders().size());
        CHECK_EQUAL(5U, voterCountOf(leaders().front()));
        CHECK(commit("after replacement " + std::to_string(round)));
    }
}

TEST(open_group, unresponsiveVmIsRemovedAndJoinsAgainOnReturn)
{
    formGroupOfFive();
    const std::size_t unresponsive = leaders().front() == 5 ? 4 : 5;
    isolate({unresponsive});
    run(8000);
    CHECK_EQUAL(4U, voterCountOf(leaders().front()));
    CHECK(commit("while it was away"));
    blockedLinks.clear();
    run(4000);
    CHECK_EQUAL(5U, voterCountOf(leaders().front()));
    CHECK(hasCommitted(unresponsive, "while it was away"));
}

TEST(open_group, groupNeverShrinksBelowTheToleratedDiskLosses)
{
    formGroupOfFive();
    const std::size_t leader = leaders().front();
    stopOthersThan(leader, 2);
    run(12'000);
    CHECK_EQUAL(3U, voterCountOf(leader));
    stopOthersThan(leader, 1);
    run(12'000);
    CHECK_EQUAL(3U, voterCountOf(leader));
}

TEST(open_group, vmWithErasedDiskBecomesAVoterAgainAndNothingIsLost)
{
    formGroupOfFive();
    CHECK(commit("before"));
    const std::size_t leader = leaders().front();
    start(leader, false);
    run(8000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK_EQUAL(5U, voterCountOf(leaders().front()));
    CHECK(hasCommitted(leaders().front(), "before"));
    run(2000);
    CHECK(hasCommitted(leader, "before"));
}

// Two VMs are partitioned off and miss an entry. Of the three that have it, one loses its disk and
// the other two lose power; then the partition heals. The two VMs that lag behind and the empty
// disk must not elect a leader, which would lose the entry.
TEST(open_group, laggingVmsAndAnEmptyDiskElectNoLeader)
{
    formGroupOfFive();
    const std::size_t leader = leaders().front();
    std::vector<std::size_t> lagging;
    std::vector<std::size_t> ahead;
    for (std::size_t number = 1; number <= 5; ++number)
        (number != leader && lagging.size() < 2 ? lagging : ahead).push_back(number);
    isolate(lagging);
    run(200);
    CHECK(commit("missed by two"));
    start(ahead.front(), false);
    vms.at(ahead[1]).isUp = false;
    vms.at(ahead[2]).isUp = false;
    blockedLinks.clear();
    run(10'000);
    CHECK(leaders().empty());
    vms.at(ahead[1]).isUp = true;
    vms.at(ahead[2]).isUp = true;
    run(8000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK(hasCommitted(leaders().front(), "missed by two"));
    for (const std::size_t number : lagging)
        CHECK(hasCommitted(number, "missed by two"));
}

TEST(open_group, onlyTheLargerSideOfAPartitionHasALeader)
{
    formGroupOfFive();
    const std::size_t leader = leaders().front();
    const std::size_t other = leader == 1 ? 2 : 1;
    isolate({leader, other});
    run(6000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK(leaders().front() != leader);
    CHECK(commit("on the larger side"));
    blockedLinks.clear();
    run(6000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK(hasCommitted(leader, "on the larger side"));
}

TEST(open_group, leaderWithoutInboundMessagesIsReplaced)
{
    formGroupOfFive();
    const std::size_t unreachable = leaders().front();
    for (std::size_t number = 1; number <= 5; ++number)
        blockedLinks.insert({number, unreachable});
    run(6000);
    CHECK_EQUAL(1U, leaders().size());
    CHECK(leaders().front() != unreachable);
}
