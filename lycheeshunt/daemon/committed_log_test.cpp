// A read that was confirmed overtook entries that had been committed before it and waited for the
// ticket thread: a control process that had just started answered with an older desired state.

#include "lycheeshunt/daemon/internal/committed_log.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/dissemination/publisher_duty.h"
#include "lycheeshunt/evacuations/evacuation_duty.h"
#include "lycheeshunt/membership/membership_duty.h"
#include "lycheeshunt/replication/log_entry.h"
#include "lycheeshunt/states/codec.h"
#include "lycheeshunt/states/state_duty.h"
#include "lycheeshunt/tickets/ticket_duty.h"

#include <future>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using daemon::internal::committed_log;

namespace {

constexpr base::request_id stateRead(1);
constexpr base::request_id laterRead(2);

replication::log_entry stateEntry(std::uint64_t index, std::uint64_t version)
{
    return replication::log_entry {
        base::generation(index), 1, replication::entry_kind::state, base::clock_time(),
        states::encodeState(states::desired_state {version, std::to_string(version)})};
}

// As of a later build: the version can be decoded, the contents can't.
replication::log_entry undecodableEntry(std::uint64_t index, std::uint64_t version)
{
    const std::tuple<std::uint64_t, std::uint32_t, std::string> envelope(version, 1, "?");
    return replication::log_entry {base::generation(index), 1, replication::entry_kind::state,
                                   base::clock_time(), base::packFields(envelope)};
}

// The duties of a leading control process; the ticket thread waits until it is released.
class log_fixture
{
public:
    log_fixture()
    {
        m_log = std::make_unique<committed_log>(daemon::internal::log_followers {
            m_tickets, m_states, m_membership, m_publisher, m_evacuations});
        m_states.inbox().push(states::leadership_update {true, base::endpoint {}});
    }
    ~log_fixture()
    {
        m_tickets.stop();
        m_states.stop();
    }

    log_fixture(const log_fixture &) = delete;
    log_fixture &operator=(const log_fixture &) = delete;

    committed_log &log() { return *m_log; }
    base::ring<states::state_message> &states() { return m_states.inbox(); }
    void releaseTickets() { m_release.set_value(); }
    // Returns once the state thread has handled all earlier messages.
    void awaitStates()
    {
        m_states.inbox().push(states::get_state {laterRead});
        m_reached.get_future().wait();
    }
    std::uint64_t versionRead() { return m_version.get_future().get(); }

private:
    bool handleTickets(const tickets::ticket_action &action)
    {
        m_released.wait();
        if (const tickets::other_committed *entry = std::get_if<tickets::other_committed>(&action))
            return m_log->apply(*entry);
        return m_log->apply(std::get<tickets::other_read_outcome>(action));
    }

    bool handleStates(const states::state_action &action)
    {
        if (const states::confirm_read *asked = std::get_if<states::confirm_read>(&action)) {
            if (asked->request == laterRead)
                m_reached.set_value();
            return true;
        }
        const states::state_answer &answer = std::get<states::state_answer>(action);
        const states::state_contents *shown = std::get_if<states::state_contents>(&answer.outcome);
        m_version.set_value(shown != nullptr && shown->state ? shown->state->version : 0);
        return true;
    }

    std::promise<void> m_release;
    const std::shared_future<void> m_released = m_release.get_future().share();
    std::promise<void> m_reached;
    std::promise<std::uint64_t> m_version;
    std::unique_ptr<committed_log> m_log;
    membership::membership_duty m_membership {[](const membership::membership_action &) {}};
    dissemination::publisher_duty m_publisher {[](const dissemination::dissemination_action &) {}};
    evacuations::evacuation_duty m_evacuations {
        [](const evacuations::evacuation_action &) { return true; }};
    states::state_duty m_states {
        [this](const states::state_action &action) { return handleStates(action); }};
    tickets::ticket_duty m_tickets {
        [this](const tickets::ticket_action &action) { return handleTickets(action); }};
};

} // namespace

TEST_GROUP(committed_log) {};

TEST(committed_log, aConfirmedReadSeesTheStateCommittedBeforeIt)
{
    log_fixture control;
    control.states().push(states::get_state {stateRead});
    control.log().deliver({stateEntry(1, 7)});
    control.log().completeStateRead(stateRead, std::nullopt);
    control.awaitStates();
    control.releaseTickets();
    UNSIGNED_LONGS_EQUAL(7, control.versionRead());
}

// Guards against reads that show an older state at a VM of an earlier build: a state that it can't
// decode was skipped, and the one before it shown as the newest.
TEST(committed_log, aReadIsRefusedWhileTheNewestStateCannotBeDecoded)
{
    log_fixture control;
    control.releaseTickets();
    control.states().push(states::get_state {stateRead});
    control.log().deliver({stateEntry(1, 7)});
    control.log().deliver({undecodableEntry(2, 9)});
    control.log().completeStateRead(stateRead, std::nullopt);
    UNSIGNED_LONGS_EQUAL(0, control.versionRead());
}
