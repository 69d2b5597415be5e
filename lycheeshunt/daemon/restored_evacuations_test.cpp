// Evacuated zones after all control processes have ended: they are in force again before an order
// is answered or a view is sent.

#include "lycheeshunt/daemon/internal/committed_log.h"
#include "lycheeshunt/dissemination/publisher_duty.h"
#include "lycheeshunt/evacuations/codec.h"
#include "lycheeshunt/evacuations/evacuation_duty.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_duty.h"
#include "lycheeshunt/replication/log_entry.h"
#include "lycheeshunt/replication/state_restored.h"
#include "lycheeshunt/states/state_duty.h"
#include "lycheeshunt/tickets/ticket_duty.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using daemon::internal::committed_log;

namespace {

replication::log_entry entryOf(std::uint64_t index, replication::entry_kind kind,
                               const std::string &payload)
{
    return replication::log_entry {base::generation(index), 1, kind, base::clock_time(), payload};
}

replication::log_entry orderEntry(std::uint64_t index, const std::string &zone, bool isEvacuated)
{
    return entryOf(index, replication::entry_kind::evacuation,
                   evacuations::encodeOrder({zone, isEvacuated}));
}

replication::log_entry memberEntry(std::uint64_t index, const std::string &name)
{
    const membership::member member {name,
                                     "zone-1",
                                     membership::member_role::agent,
                                     base::serviceIdOf("logbook"),
                                     base::incarnation(1),
                                     base::endpoint {1, 2}};
    return entryOf(index, replication::entry_kind::membership,
                   membership::encodeBatch({{member}, {}}));
}

// The duties of a leading control process.
class restored_control
{
public:
    restored_control()
        : m_log(daemon::internal::log_followers {m_tickets, m_states, m_membership, m_publisher,
                                                 m_evacuations})
    {
        m_evacuations.inbox().push(evacuations::leadership_update {true, base::endpoint {1, 2}});
    }
    ~restored_control()
    {
        m_tickets.stop();
        m_evacuations.stop();
    }

    restored_control(const restored_control &) = delete;
    restored_control &operator=(const restored_control &) = delete;

    committed_log &log() { return m_log; }

    // Whether the order is in force already, so that nothing is proposed.
    bool isInForce(const std::string &zone, bool isEvacuated)
    {
        std::promise<bool> outcome;
        m_outcome = &outcome;
        m_evacuations.inbox().push(
            evacuations::submit_order {base::request_id(++m_lastRequest), {zone, isEvacuated}});
        return outcome.get_future().get();
    }

    // The entries that the ticket thread has passed on.
    std::size_t updates() const { return m_updates; }

private:
    bool handleTickets(const tickets::ticket_action &action)
    {
        if (const tickets::other_committed *entry
            = std::get_if<tickets::other_committed>(&action)) {
            ++m_updates;
            return m_log.apply(*entry);
        }
        return m_log.apply(std::get<tickets::other_read_outcome>(action));
    }

    bool handleEvacuations(const evacuations::evacuation_action &action)
    {
        if (const evacuations::confirm_read *read = std::get_if<evacuations::confirm_read>(&action))
            m_log.completeEvacuationRead(read->request, std::nullopt);
        else
            m_outcome->set_value(std::holds_alternative<evacuations::order_answer>(action));
        return true;
    }

    std::promise<bool> *m_outcome = nullptr;
    std::uint64_t m_lastRequest = 0;
    std::atomic<std::size_t> m_updates = 0;
    membership::membership_duty m_membership {[](const membership::membership_action &) {}};
    dissemination::publisher_duty m_publisher {[](const dissemination::dissemination_action &) {}};
    states::state_duty m_states {[](const states::state_action &) { return true; }};
    evacuations::evacuation_duty m_evacuations {
        [this](const evacuations::evacuation_action &action) { return handleEvacuations(action); }};
    tickets::ticket_duty m_tickets {
        [this](const tickets::ticket_action &action) { return handleTickets(action); }};
    committed_log m_log;
};

} // namespace

TEST_GROUP(restored_evacuations) {};

TEST(restored_evacuations, theZonesOfACompactedLogAreInForce)
{
    restored_control control;
    const std::vector<replication::log_entry> kept
        = control.log().compact({orderEntry(1, "zone-1", true), memberEntry(2, "a1"),
                                 orderEntry(3, "zone-2", true), orderEntry(4, "zone-2", false)});
    control.log().restore(replication::state_restored {base::generation(4), kept});
    control.log().deliver({orderEntry(5, "zone-3", true)});
    CHECK(control.isInForce("zone-1", true));
    CHECK(control.isInForce("zone-2", false));
    CHECK(control.isInForce("zone-3", true));
    CHECK_FALSE(control.isInForce("zone-3", false));
}

// Guards against a withdrawal that is lost on a VM which gets a snapshot after the order.
TEST(restored_evacuations, aSnapshotWithdrawsAZoneThatThisVmHoldsAsEvacuated)
{
    restored_control control;
    control.log().deliver({orderEntry(1, "zone-1", true)});
    CHECK(control.isInForce("zone-1", true));
    control.log().restore(
        replication::state_restored {base::generation(9), {orderEntry(8, "zone-1", false)}});
    CHECK(control.isInForce("zone-1", false));
}

// Guards against a view with the agents but without the zones: the first entries after a start are
// applied in one step also if they are few.
TEST(restored_evacuations, theFirstEntriesAfterAStartAreAppliedInOneStep)
{
    restored_control control;
    control.log().deliver({memberEntry(1, "a1"), memberEntry(2, "a2"),
                           orderEntry(3, "zone-1", true), orderEntry(4, "zone-2", true),
                           orderEntry(5, "zone-2", false)});
    CHECK(control.isInForce("zone-1", true));
    CHECK(control.isInForce("zone-2", false));
    LONGS_EQUAL(1, control.updates());
    control.log().deliver({orderEntry(6, "zone-1", false), memberEntry(7, "a3")});
    CHECK(control.isInForce("zone-1", false));
    LONGS_EQUAL(3, control.updates());
}
