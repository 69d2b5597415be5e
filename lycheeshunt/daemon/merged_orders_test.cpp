// Evacuation orders that a busy leader commits in one write: each operator gets an answer, although
// the entries are merged into one update.

#include "lycheeshunt/daemon/internal/committed_log.h"
#include "lycheeshunt/dissemination/publisher_duty.h"
#include "lycheeshunt/evacuations/codec.h"
#include "lycheeshunt/evacuations/evacuation_duty.h"
#include "lycheeshunt/membership/membership_duty.h"
#include "lycheeshunt/replication/log_entry.h"
#include "lycheeshunt/states/state_duty.h"
#include "lycheeshunt/tickets/ticket_duty.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using daemon::internal::committed_log;

namespace {

// An answer or a proposal that does not arrive within this time is lost: no thread here has other
// work.
constexpr base::clock_time timeout = base::clock_time::ofSeconds(2);
// As many as are merged on a VM that has been running for a while.
constexpr std::uint64_t mergedOrders = 8;

// The duties of a leading control process. Reads are confirmed at once; proposals are kept until
// they are committed together.
class leading_control
{
public:
    leading_control()
        : m_log(daemon::internal::log_followers {m_tickets, m_states, m_membership, m_publisher,
                                                 m_evacuations})
    {
        m_evacuations.inbox().push(evacuations::leadership_update {true, base::endpoint {1, 2}});
        m_log.deliver({entryOf(replication::entry_kind::none, "")});
    }
    ~leading_control()
    {
        m_tickets.stop();
        m_evacuations.stop();
    }

    leading_control(const leading_control &) = delete;
    leading_control &operator=(const leading_control &) = delete;

    void submit(const evacuations::evacuation_order &order)
    {
        m_evacuations.inbox().push(
            evacuations::submit_order {base::request_id(++m_lastRequest), order});
    }
    // Commits so many proposals in one write.
    void commitTogether(std::uint64_t count)
    {
        std::vector<replication::log_entry> entries;
        while (entries.size() < count) {
            const std::optional<evacuations::evacuation_order> order = m_proposals.popFor(timeout);
            CHECK(order.has_value());
            entries.push_back(
                entryOf(replication::entry_kind::evacuation, evacuations::encodeOrder(*order)));
        }
        m_log.deliver(entries);
    }
    // The requests that are answered, in the order of their answers.
    std::vector<base::request_id> answered(std::uint64_t count)
    {
        std::vector<base::request_id> requests;
        while (requests.size() < count) {
            const std::optional<base::request_id> request = m_answers.popFor(timeout);
            if (!request)
                break;
            requests.push_back(*request);
        }
        return requests;
    }

private:
    replication::log_entry entryOf(replication::entry_kind kind, const std::string &payload)
    {
        return replication::log_entry {base::generation(++m_lastIndex), 1, kind, base::clock_time(),
                                       payload};
    }

    bool handleTickets(const tickets::ticket_action &action)
    {
        if (const tickets::other_committed *entry = std::get_if<tickets::other_committed>(&action))
            return m_log.apply(*entry);
        return m_log.apply(std::get<tickets::other_read_outcome>(action));
    }

    bool handleEvacuations(const evacuations::evacuation_action &action)
    {
        if (const evacuations::confirm_read *read = std::get_if<evacuations::confirm_read>(&action))
            m_log.completeEvacuationRead(read->request, std::nullopt);
        else if (const evacuations::propose_order *proposed
                 = std::get_if<evacuations::propose_order>(&action))
            m_proposals.push(proposed->order);
        else
            m_answers.push(std::get<evacuations::order_answer>(action).request);
        return true;
    }

    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastIndex = 0;
    base::ring<evacuations::evacuation_order> m_proposals {64};
    base::ring<base::request_id> m_answers {64};
    membership::membership_duty m_membership {[](const membership::membership_action &) {}};
    dissemination::publisher_duty m_publisher {[](const dissemination::dissemination_action &) {}};
    states::state_duty m_states {[](const states::state_action &) { return true; }};
    evacuations::evacuation_duty m_evacuations {
        [this](const evacuations::evacuation_action &action) { return handleEvacuations(action); }};
    tickets::ticket_duty m_tickets {
        [this](const tickets::ticket_action &action) { return handleTickets(action); }};
    committed_log m_log;
};

std::vector<base::request_id> requestsTo(std::uint64_t last)
{
    std::vector<base::request_id> requests;
    for (std::uint64_t i = 1; i <= last; ++i)
        requests.push_back(base::request_id(i));
    return requests;
}

} // namespace

TEST_GROUP(merged_orders) {};

// Guards against operators who repeat an order at the same time and of whom one is answered.
TEST(merged_orders, eachOfTheSameOrdersOfAZoneIsAnswered)
{
    leading_control control;
    for (std::uint64_t i = 0; i < mergedOrders; ++i)
        control.submit({"zone-1", true});
    control.commitTogether(mergedOrders);
    CHECK(control.answered(mergedOrders) == requestsTo(mergedOrders));
}

// Guards against a zone whose later orders are committed and never answered, since the orders
// before them are still awaited.
TEST(merged_orders, ordersThatReplaceEachOtherAreAnsweredAndSoIsTheNextOne)
{
    leading_control control;
    for (std::uint64_t i = 0; i < mergedOrders; ++i)
        control.submit({"zone-1", i % 2 == 0});
    control.commitTogether(mergedOrders);
    control.submit({"zone-1", true});
    control.commitTogether(1);
    CHECK(control.answered(mergedOrders + 1) == requestsTo(mergedOrders + 1));
}
