// What a control process carries out for operators' desired states and evacuation orders.

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/daemon/control_process.h"
#include "lycheeshunt/daemon/internal/control_log.h"
#include "lycheeshunt/evacuations/codec.h"
#include "lycheeshunt/operators/operator_duty.h"
#include "lycheeshunt/replication/replication_duty.h"
#include "lycheeshunt/states/codec.h"
#include "lycheeshunt/tickets/ticket_duty.h"

namespace lycheeshunt::daemon {

namespace {

// The highest bit of a read's number is set for reads of desired states, the next one for reads of
// evacuations; both are clear for tickets.
constexpr std::uint64_t stateReadBit = std::uint64_t(1) << 63;
constexpr std::uint64_t evacuationReadBit = std::uint64_t(1) << 62;

// Set in the number of an order that comes by the operators' API: other front ends count their
// requests on their own.
constexpr std::uint64_t operatorsOrderBit = std::uint64_t(1) << 61;

} // namespace

bool control_process::carryOutState(const states::state_action &action)
{
    return std::visit(base::overloaded {
                          [this](const states::propose_state &proposed) {
                              return propose(replication::entry_kind::state,
                                             states::encodeState(*proposed.state), proposed.token);
                          },
                          [this](const states::state_answer &answer) {
                              base::logEvent("states", "answered",
                                             {{"request", std::to_string(answer.request.value())},
                                              {"outcome", internal::nameOf(answer.outcome)}});
                              if (m_stateAnswers)
                                  m_stateAnswers(answer);
                              return true;
                          },
                          [this](const states::confirm_read &read) {
                              return m_replication->inbox().tryPush(replication::read_request {
                                  base::request_id(read.request.value() | stateReadBit)});
                          },
                      },
                      action);
}

bool control_process::carryOutEvacuation(const evacuations::evacuation_action &action)
{
    return std::visit(
        base::overloaded {
            [this](const evacuations::propose_order &proposed) {
                return propose(replication::entry_kind::evacuation,
                               evacuations::encodeOrder(proposed.order), proposed.token);
            },
            [this](const evacuations::order_answer &answer) { return answerOrder(answer); },
            [this](const evacuations::confirm_read &read) {
                return m_replication->inbox().tryPush(replication::read_request {
                    base::request_id(read.request.value() | evacuationReadBit)});
            },
        },
        action);
}

void control_process::submitForOperators(const evacuations::submit_order &submit)
{
    m_evacuations->inbox().push(evacuations::submit_order {
        base::request_id(submit.request.value() | operatorsOrderBit), submit.order});
}

bool control_process::answerOrder(const evacuations::order_answer &answer)
{
    base::logEvent("evacuations", "answered",
                   {{"request", std::to_string(answer.request.value())},
                    {"outcome", internal::nameOf(answer.outcome)}});
    if ((answer.request.value() & operatorsOrderBit) != 0)
        return m_operators->inbox().tryPush(evacuations::order_answer {
            base::request_id(answer.request.value() & ~operatorsOrderBit), answer.outcome});
    if (m_orderAnswers)
        m_orderAnswers(answer);
    return true;
}

void control_process::completeRead(base::request_id request,
                                   const std::optional<base::error> &failure)
{
    if ((request.value() & stateReadBit) != 0)
        m_log->completeStateRead(base::request_id(request.value() & ~stateReadBit), failure);
    else if ((request.value() & evacuationReadBit) != 0)
        m_log->completeEvacuationRead(base::request_id(request.value() & ~evacuationReadBit),
                                      failure);
    else
        m_tickets->inbox().push(tickets::read_outcome {request, failure});
}

} // namespace lycheeshunt::daemon
