// The disks of control VMs are full for a few seconds each, one after another, while proposals,
// reads, snapshots and changes of membership go on. Afterwards the group must commit, every VM must
// be a voter that holds all entries, and every request must have been answered.

#include "lycheeshunt/replication/group_test.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::replication;

namespace {

constexpr std::size_t groupSize = 5;
// Snapshots are sent in pieces of 64 bytes.
const replica_bounds smallBounds {4096, 2000, 8, 1000, 64, 16, 100};

class busy_group
{
public:
    explicit busy_group(std::uint32_t seed)
        : m_group(groupSize, seed, smallBounds, group_kind::open), m_random(seed)
    {
        m_group.recoverInPlace();
        m_group.awaitLeader();
        m_group.runUntil([this]() { return areAllVoters(); });
    }

    replica_group &group() { return m_group; }
    std::size_t drawn(std::size_t bound) { return m_random() % bound; }

    // Requests at VMs that believe that they lead, and snapshots now and then.
    void work(std::size_t millis)
    {
        constexpr std::size_t stepMillis = 40;
        for (std::size_t passed = 0; passed < millis; passed += stepMillis) {
            for (std::size_t vm = 0; vm < groupSize; ++vm) {
                if (believesToLead(vm))
                    request(vm);
            }
            if (drawn(30) == 0)
                m_group.compact(drawn(groupSize));
            m_group.run(stepMillis);
        }
    }

    void fillDiskFor(std::size_t vm, std::size_t millis)
    {
        m_group.files(vm).setFull(true);
        work(millis);
        m_group.files(vm).setFull(false);
    }

    // The last thing that the VM's other duties were notified of.
    bool believesToLead(std::size_t vm)
    {
        const std::vector<replica_action> &notices = m_group.at(vm).notices;
        for (auto it = notices.rbegin(); it != notices.rend(); ++it) {
            if (const leadership_changed *changed = std::get_if<leadership_changed>(&*it))
                return changed->leadership.isLeader;
        }
        return false;
    }

    bool areAllVoters()
    {
        for (std::size_t vm = 0; vm < groupSize; ++vm) {
            const replica_state &state = m_group.at(vm).state;
            if (!state.isFormed() || state.members().voterCount() != groupSize)
                return false;
        }
        return true;
    }

    bool isAppliedByAll()
    {
        for (std::size_t vm = 0; vm < groupSize; ++vm) {
            for (auto it = m_group.everApplied().begin(); it != m_group.everApplied().end(); ++it) {
                if (it->second.kind == entry_kind::ticket
                    && m_group.at(vm).applied.count(it->first) == 0)
                    return false;
            }
        }
        return true;
    }

    void checkRecovered()
    {
        m_group.setFaultPercent(0);
        const std::size_t leader = m_group.awaitLeader();
        m_group.propose(leader, "last");
        CHECK(m_group.runUntil([&]() {
            return m_group.hasApplied(leader, "last") && isAppliedByAll() && areAllVoters();
        }));
        for (std::size_t vm = 0; vm < groupSize; ++vm)
            CHECK_EQUAL(leadershipOf(m_group.at(vm).state).isLeader, believesToLead(vm));
        LONGS_EQUAL(0, unanswered());
        STRCMP_EQUAL("", m_group.firstViolation().c_str());
    }

private:
    struct sent_request
    {
        std::size_t vm;
        std::uint64_t token;
        // Number of the VM's notices before the request.
        std::size_t noticesBefore;
    };

    static std::string payloadOf(std::uint64_t token) { return "ticket " + std::to_string(token); }

    void request(std::size_t vm)
    {
        const std::size_t noticesBefore = m_group.at(vm).notices.size();
        const std::uint64_t token = ++m_lastToken;
        if (token % 2 == 0) {
            m_reads.push_back({vm, token, noticesBefore});
            m_group.dispatch(vm, read_request {base::request_id(token)});
            return;
        }
        m_proposals.push_back({vm, token, noticesBefore});
        m_group.dispatch(
            vm, propose_entries {{proposal {entry_kind::ticket, payloadOf(token), token}}});
    }

    bool isAnswered(const sent_request &sent)
    {
        const std::vector<replica_action> &notices = m_group.at(sent.vm).notices;
        const base::request_id id(sent.token);
        for (std::size_t i = sent.noticesBefore; i < notices.size(); ++i) {
            const proposal_refused *refused = std::get_if<proposal_refused>(&notices[i]);
            const read_confirmed *confirmed = std::get_if<read_confirmed>(&notices[i]);
            const read_refused *notConfirmed = std::get_if<read_refused>(&notices[i]);
            if ((refused != nullptr && refused->token == sent.token)
                || (confirmed != nullptr && confirmed->request == id)
                || (notConfirmed != nullptr && notConfirmed->request == id))
                return true;
        }
        return false;
    }

    // Proposals of an ended leadership count as answered: their outcome is unknown.
    bool hasLeadershipEnded(const sent_request &sent)
    {
        const std::vector<replica_action> &notices = m_group.at(sent.vm).notices;
        for (std::size_t i = sent.noticesBefore; i < notices.size(); ++i) {
            const leadership_changed *changed = std::get_if<leadership_changed>(&notices[i]);
            if (changed != nullptr && !changed->leadership.isLeader)
                return true;
        }
        return false;
    }

    std::size_t unanswered()
    {
        std::size_t count = 0;
        for (const sent_request &read : m_reads)
            count += isAnswered(read) ? 0 : 1;
        for (const sent_request &sent : m_proposals) {
            const bool isSettled = isAnswered(sent) || hasLeadershipEnded(sent)
                || m_group.hasApplied(sent.vm, payloadOf(sent.token));
            count += isSettled ? 0 : 1;
        }
        return count;
    }

    replica_group m_group;
    std::mt19937 m_random;
    std::uint64_t m_lastToken = 0;
    std::vector<sent_request> m_proposals;
    std::vector<sent_request> m_reads;
};

} // namespace

TEST_GROUP(full_disks) {};

// Guards against a group that stays without commits, or a VM that stays outside, after the last
// full disk has room again.
TEST(full_disks, groupServesAgainAfterEachDiskInTurnWasFull)
{
    constexpr std::uint32_t seeds = 40;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        busy_group busy(seed);
        busy.group().setFaultPercent(seed % 4 == 0 ? 5 : 0);
        for (std::size_t turn = 0; turn < groupSize + 2; ++turn) {
            const std::size_t leader = busy.group().leader().value_or(0);
            busy.fillDiskFor(turn % 2 == 0 ? leader : busy.drawn(groupSize),
                             500 + busy.drawn(6000));
            busy.work(busy.drawn(1500));
        }
        busy.checkRecovered();
    }
}

// Guards against a VM whose other duties miss entries: the write of a leader's snapshot fails after
// the file has been renamed, and the replica begins again after the snapshot.
TEST(full_disks, snapshotIsAppliedAlsoIfItsWriteFailsAtAnyStep)
{
    for (std::uint64_t step = 1; step <= 12; ++step) {
        replica_group group(3, 1, smallBounds);
        group.recoverInPlace();
        const std::size_t leader = group.awaitLeader();
        const std::size_t behind = (leader + 1) % group.size();
        group.propose(leader, "before");
        group.run(500);
        group.isolate(behind);
        group.propose(leader, "missed");
        group.run(500);
        group.compact(leader);
        group.files(behind).failAtStep(group.files(behind).steps() + step,
                                       base::error_code::diskFull);
        group.unblockLinks();
        group.run(3000);
        group.propose(group.awaitLeader(), "after");
        group.run(1000);
        STRCMP_EQUAL("", group.firstViolation().c_str());
        CHECK(group.hasApplied(behind, "missed"));
        CHECK(group.hasApplied(behind, "after"));
    }
}

// Guards against duties that take a failed VM for the leader: it learns of a later term, and the
// write of that term fails. The notice was among the actions that a failed write leaves out.
TEST(full_disks, leaderThatCannotWriteALaterTermNotifiesOfTheEndOfItsLeadership)
{
    replica_group group(3, 2);
    const std::size_t leader = group.awaitLeader();
    const std::size_t other = (leader + 1) % group.size();
    const replica_state &state = group.at(leader).state;
    group.files(leader).setFull(true);
    group.dispatch(leader,
                   peer_envelope {group.at(other).state.id(), state.id(),
                                  append_answer {state.term + 1, 0, false, base::generation()}});
    CHECK(std::holds_alternative<failed_role>(state.role));
    const leadership_changed *last
        = std::get_if<leadership_changed>(&group.at(leader).notices.back());
    CHECK(last != nullptr && !last->leadership.isLeader);
}

// Guards against a VM that no longer knows whom to contact: addresses that it was told of before
// or while its disk was full.
TEST(full_disks, contactsAreKeptThroughAFullDisk)
{
    replica_group group(3, 3, smallBounds, group_kind::open);
    group.recoverInPlace();
    const std::size_t leader = group.awaitLeader();
    const replica_state &state = group.at(leader).state;
    const base::endpoint before {9, 1};
    const base::endpoint meanwhile {9, 2};
    group.dispatch(leader, contacts_changed {{before}});
    group.files(leader).setFull(true);
    group.propose(leader, "no room");
    CHECK(std::holds_alternative<failed_role>(state.role));
    group.dispatch(leader, contacts_changed {{meanwhile}});
    group.files(leader).setFull(false);
    group.run(1000);
    CHECK(!std::holds_alternative<failed_role>(state.role));
    LONGS_EQUAL(1, state.contacts.count(before));
    LONGS_EQUAL(1, state.contacts.count(meanwhile));
}
