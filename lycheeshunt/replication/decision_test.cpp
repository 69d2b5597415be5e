#include "lycheeshunt/replication/decision.h"

#include "lycheeshunt/replication/group_test.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::replication;

namespace {

template <typename notice_type>
std::size_t countOf(const std::vector<replica_action> &actions)
{
    std::size_t count = 0;
    for (const replica_action &action : actions)
        count += std::holds_alternative<notice_type>(action) ? 1 : 0;
    return count;
}

// Whether every running replica has applied every ticket that any replica ever applied.
bool isAppliedByAll(replica_group &group)
{
    for (std::size_t i = 0; i < group.size(); ++i) {
        for (auto it = group.everApplied().begin(); it != group.everApplied().end(); ++it) {
            const bool isTicket = it->second.kind == entry_kind::ticket;
            if (group.at(i).isUp && isTicket && group.at(i).applied.count(it->first) == 0)
                return false;
        }
    }
    return true;
}

void checkInvariants(replica_group &group)
{
    group.setFaultPercent(0);
    group.unblockLinks();
    const std::size_t leader = group.awaitLeader();
    group.propose(leader, "last");
    CHECK(group.runUntil(
        [&]() { return group.hasApplied(leader, "last") && isAppliedByAll(group); }));
    STRCMP_EQUAL("", group.firstViolation().c_str());
}

} // namespace

TEST_GROUP(replication_decision) {};

TEST(replication_decision, groupsOfOneThreeAndFiveElectAndCommit)
{
    for (const std::size_t size : {1, 3, 5}) {
        replica_group group(size, 11);
        const std::size_t leader = group.awaitLeader();
        group.propose(leader, "first");
        CHECK(group.runUntil([&]() { return group.hasApplied(leader, "first"); }));
        checkInvariants(group);
    }
}

TEST(replication_decision, toleratesLossDelayDuplicationAndReordering)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        replica_group group(seed % 2 == 0 ? 3 : 5, seed);
        group.awaitLeader();
        group.setFaultPercent(seed);
        for (int i = 0; i < 40; ++i) {
            if (const std::optional<std::size_t> leader = group.leader())
                group.propose(*leader, "ticket " + std::to_string(i));
            group.run(100);
        }
        checkInvariants(group);
    }
}

TEST(replication_decision, leaderCrashesAtAnyMomentLoseNoCommittedEntry)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        replica_group group(3, seed);
        for (int i = 0; i < 12; ++i) {
            const std::size_t leader = group.awaitLeader();
            group.propose(leader, "ticket " + std::to_string(i));
            group.run(10 * (seed % 7));
            group.crash(leader, seed % 2 == 0 ? crash_loss::allUnsynced : crash_loss::unsyncedHalf);
            group.run(200);
            group.restart(leader);
        }
        checkInvariants(group);
    }
}

TEST(replication_decision, isolatedLeaderCommitsNothingAndConfirmsNoRead)
{
    replica_group group(3, 5);
    const std::size_t oldLeader = group.awaitLeader();
    group.isolate(oldLeader);
    group.propose(oldLeader, "lost");
    group.dispatch(oldLeader, read_request {base::request_id(1)});
    constexpr std::int64_t hour = 3'600'000;
    group.run(hour / 60);
    const std::size_t newLeader = group.awaitLeader();
    CHECK(newLeader != oldLeader);
    group.propose(newLeader, "kept");
    group.propose(oldLeader, "refused");
    group.dispatch(oldLeader, read_request {base::request_id(2)});
    group.run(1000);
    CHECK(group.hasApplied(newLeader, "kept"));
    LONGS_EQUAL(2, countOf<read_refused>(group.at(oldLeader).notices));
    LONGS_EQUAL(0, countOf<read_confirmed>(group.at(oldLeader).notices));
    LONGS_EQUAL(1, countOf<proposal_refused>(group.at(oldLeader).notices));
    CHECK_FALSE(group.hasApplied(oldLeader, "lost"));
    checkInvariants(group);
    CHECK_FALSE(group.hasApplied(newLeader, "lost"));
}

TEST(replication_decision, leaderWithoutInboundMessagesStepsDown)
{
    replica_group group(3, 6);
    const std::size_t oldLeader = group.awaitLeader();
    for (std::size_t i = 0; i < group.size(); ++i)
        group.blockLink(i, oldLeader);
    CHECK(group.runUntil(
        [&]() { return !std::holds_alternative<leader_role>(group.at(oldLeader).state.role); }));
    checkInvariants(group);
}

TEST(replication_decision, replicaWithoutInboundMessagesDoesNotDisruptTheLeader)
{
    replica_group group(3, 7);
    const std::size_t leader = group.awaitLeader();
    const std::uint64_t term = group.at(leader).state.term;
    const std::size_t unreachable = (leader + 1) % 3;
    for (std::size_t i = 0; i < group.size(); ++i)
        group.blockLink(i, unreachable);
    group.run(20'000);
    group.unblockLinks();
    group.run(3000);
    CHECK(group.leader() == leader);
    UNSIGNED_LONGS_EQUAL(term, group.at(leader).state.term);
}

TEST(replication_decision, readIsConfirmedByAQuorumAndRefusedByAFollower)
{
    replica_group group(3, 8);
    const std::size_t leader = group.awaitLeader();
    const std::size_t follower = (leader + 1) % 3;
    group.run(500);
    group.dispatch(leader, read_request {base::request_id(1)});
    LONGS_EQUAL(0, countOf<read_confirmed>(group.at(leader).notices));
    group.run(200);
    LONGS_EQUAL(1, countOf<read_confirmed>(group.at(leader).notices));
    group.dispatch(follower, read_request {base::request_id(2)});
    const read_refused *refused = std::get_if<read_refused>(&group.at(follower).notices.back());
    CHECK(refused != nullptr && refused->reason.code == base::error_code::notLeader);
    STRCMP_CONTAINS(group.at(leader).name.c_str(), refused->reason.detail.c_str());
}

// Guards against reads that show an older state: a request of the leader's earlier leadership is
// delayed until its present one, and the rejection must not count as an answer of this term, whose
// rounds start anew.
TEST(replication_decision, aRejectedRequestOfAnEarlierTermConfirmsNoRead)
{
    for (const bool isSnapshot : {false, true}) {
        replica_group group(3, 8);
        const std::size_t leader = group.awaitLeader();
        const std::size_t follower = (leader + 1) % 3;
        group.run(500);
        const std::uint64_t earlierTerm = group.at(leader).state.term - 1;
        const peer_message delayed = isSnapshot
            ? peer_message(
                snapshot_piece {earlierTerm, 1000, base::generation(1), 1, {}, 1, 0, "x"})
            : peer_message(
                append_request {earlierTerm, 1000, base::generation(1), 1, base::generation()});
        group.dispatch(
            follower,
            peer_envelope {group.at(leader).state.id(), group.at(follower).state.id(), delayed});
        group.run(200);
        group.isolate(leader);
        group.dispatch(leader, read_request {base::request_id(1)});
        group.run(10'000);
        LONGS_EQUAL(0, countOf<read_confirmed>(group.at(leader).notices));
        LONGS_EQUAL(1, countOf<read_refused>(group.at(leader).notices));
        checkInvariants(group);
    }
}

TEST(replication_decision, replicaWithEmptyDiskVotesOnlyAfterCatchingUp)
{
    replica_group group(3, 9);
    std::size_t leader = group.awaitLeader();
    for (int i = 0; i < 30; ++i)
        group.propose(leader, "ticket " + std::to_string(i));
    group.run(1000);
    const std::size_t replaced = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    group.stop(replaced);
    group.run(1000);
    group.startWithEmptyDisk(replaced);
    const auto isVoter = [&]() {
        const configuration &members = group.at(leader).state.members();
        return members.isVoter(group.at(replaced).state.id())
            && group.at(leader).state.commit >= group.at(leader).state.configurations.back().index;
    };
    CHECK_FALSE(isVoter());
    CHECK(group.runUntil(isVoter));
    group.run(500);
    // Another VM fails right after the repair, so the repaired one is needed for the quorum.
    group.stop(second);
    leader = group.awaitLeader();
    group.propose(leader, "after");
    CHECK(group.runUntil([&]() { return group.hasApplied(leader, "after"); }));
    CHECK(group.hasApplied(replaced, "ticket 0"));
    STRCMP_EQUAL("", group.firstViolation().c_str());
}

TEST(replication_decision, emptyDisksNeverOutvoteTheRemainingReplica)
{
    replica_group group(3, 10);
    const std::size_t leader = group.awaitLeader();
    group.propose(leader, "kept");
    group.run(1000);
    const std::size_t survivor = leader;
    for (std::size_t i = 0; i < 3; ++i) {
        if (i != survivor) {
            group.stop(i);
            group.startWithEmptyDisk(i);
        }
    }
    group.run(20'000);
    CHECK_FALSE(group.leader().has_value());
    group.isolate(survivor);
    group.run(20'000);
    CHECK_FALSE(group.leader().has_value());
}

TEST(replication_decision, laggingReplicaReceivesSnapshotInPieces)
{
    for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        replica_bounds small {4096, 2000, 8, 1000, 64, 16, 100};
        replica_group group(3, seed, small);
        const std::size_t leader = group.awaitLeader();
        const std::size_t behind = (leader + 1) % 3;
        group.run(500);
        group.crash(behind, crash_loss::allUnsynced);
        for (int i = 0; i < 50; ++i)
            group.propose(leader, "ticket " + std::to_string(i));
        group.run(500);
        group.compact(leader);
        group.setFaultPercent(seed);
        group.restart(behind);
        group.run(150 * seed);
        // The transfer is interrupted and restarted by the next leader.
        group.crash(leader, crash_loss::allUnsynced);
        group.run(500);
        group.restart(leader);
        checkInvariants(group);
        CHECK(group.hasApplied(behind, "ticket 49"));
    }
}

TEST(replication_decision, toleratesClockGoingBackwards)
{
    replica_group group(1, 12);
    const std::size_t leader = group.awaitLeader();
    replica_state state = group.at(leader).state;
    const base::clock_time earlier = state.now - base::clock_time::ofSeconds(3600);
    const base::step<replica_state, replica_action> next
        = decide(std::move(state), replica_tick {}, earlier);
    CHECK(std::holds_alternative<leader_role>(next.state.role));
    CHECK(next.state.now > earlier);
}

TEST(replication_decision, fullDiskIsReportedByCodeAndLosesNothing)
{
    replica_group group(1, 13);
    const std::size_t leader = group.awaitLeader();
    group.propose(leader, "kept");
    memory_files &files = group.files(leader);
    files.failAtStep(files.steps() + 1, base::error_code::diskFull);
    group.propose(leader, "no room");
    group.propose(leader, "refused");
    const proposal_refused *refused
        = std::get_if<proposal_refused>(&group.at(leader).notices.back());
    CHECK(refused != nullptr && refused->reason.code == base::error_code::diskFull);
    CHECK_FALSE(group.hasApplied(leader, "no room"));
    group.crash(leader, crash_loss::nothing);
    group.restart(leader);
    group.awaitLeader();
    CHECK(group.hasApplied(leader, "kept"));
    STRCMP_EQUAL("", group.firstViolation().c_str());
}

TEST(replication_decision, storageFailureAtAnyStepLosesNothing)
{
    for (std::uint64_t step = 1; step <= 60; ++step) {
        const crash_loss losses[]
            = {crash_loss::nothing, crash_loss::unsyncedHalf, crash_loss::allUnsynced};
        for (const crash_loss loss : losses) {
            replica_group group(3, 14);
            const std::size_t failing = step % 3;
            group.files(failing).failAtStep(group.files(failing).steps() + step,
                                            base::error_code::storageFailed);
            for (int i = 0; i < 10; ++i) {
                if (const std::optional<std::size_t> leader = group.leader())
                    group.propose(*leader, "ticket " + std::to_string(i));
                group.run(400);
            }
            group.crash(failing, loss);
            group.restart(failing);
            checkInvariants(group);
        }
    }
}
