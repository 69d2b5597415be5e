#include "lycheeshunt/requests/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

#include <algorithm>

namespace lycheeshunt::requests {

namespace {

using request_step = base::step<request_state, request_action>;
using action_list = std::vector<request_action>;
using record_iterator = std::map<request_identity, request_record>::iterator;

// The retry budget is a token bucket: each first attempt adds this share of a token, up to
// maxRetryTokens, and each retry takes one. Retries are thus at most this share of first attempts,
// plus a small reserve.
constexpr double retryShare = 0.1;
constexpr double maxRetryTokens = 10;
constexpr std::uint32_t maxRetries = 3;
// Minimum interval between two timers of the same record.
constexpr base::clock_time minTimerInterval = base::clock_time::ofMillis(1);
constexpr base::clock_time initialBackoff = base::clock_time::ofMillis(20);

void finish(request_record &record, request_outcome outcome, base::clock_time now,
            action_list &actions)
{
    record.stage = request_stage::ended;
    record.expiresAt = now + retention;
    record.outcome = std::make_shared<const request_outcome>(std::move(outcome));
    for (const reply_handle reply : record.pendingReplies)
        actions.emplace_back(reply_to_caller {reply, *record.outcome});
    record.pendingReplies.clear();
}

// Precondition: no start is under way.
void finishUnstarted(request_record &record, base::error_code reason, base::clock_time now,
                     action_list &actions)
{
    if (record.mayHaveRunBefore)
        finish(record, outcome_unknown {}, now, actions);
    else
        finish(record, not_run {reason}, now, actions);
}

// Exponential backoff with jitter: 0.5 to 1.5 times a delay that doubles with each retry.
base::clock_time nextBackoff(request_state &state, std::uint32_t retries)
{
    const std::int64_t delay = initialBackoff.millis() << retries;
    std::uniform_int_distribution<std::int64_t> jitter(delay / 2, delay + delay / 2);
    return base::clock_time::ofMillis(jitter(state.random));
}

// Precondition: the request was certainly not run, or is idempotent.
bool scheduleRetry(request_state &state, const request_identity &identity, request_record &record,
                   base::clock_time now)
{
    if (record.retries >= maxRetries || state.retryTokens < 1)
        return false;
    const base::clock_time at = now + nextBackoff(state, record.retries);
    if (at >= record.deadline)
        return false;
    state.retryTokens -= 1;
    ++record.retries;
    record.retryAt = at;
    state.timers.emplace(at, identity);
    record.stage = request_stage::backingOff;
    record.owner = base::node_id();
    return true;
}

bool mayHaveRun(const request_record &record)
{
    return record.stage == request_stage::started;
}

bool isUnstarted(const request_record &record)
{
    return record.stage != request_stage::started && record.stage != request_stage::ended;
}

void startRecord(request_state &state, const request_arrived &request, bool mayHaveRunBefore,
                 action_list &actions)
{
    state.retryTokens = std::min(maxRetryTokens, state.retryTokens + retryShare);
    request_record record;
    record.deadline = request.deadline;
    record.idempotent = request.idempotent;
    record.mayHaveRunBefore = mayHaveRunBefore;
    record.pendingReplies.push_back(request.reply);
    state.timers.emplace(record.deadline, request.identity);
    state.records.insert_or_assign(request.identity, std::move(record));
    actions.emplace_back(offer_request {request.identity, request.deadline});
}

// Handles a request without a record. Unless idempotent, it is started only if an earlier start
// would have left a record here.
void handleNewRequest(request_state &state, const request_arrived &request, base::clock_time now,
                      action_list &actions)
{
    const bool mayBeStarted
        = request.firstSentAt < std::max(state.recordsCompleteSince, now - retention);
    const bool late = request.deadline <= now;
    if (mayBeStarted && (late || !request.idempotent))
        actions.emplace_back(reply_to_caller {request.reply, outcome_unknown {}});
    else if (late)
        actions.emplace_back(
            reply_to_caller {request.reply, not_run {base::error_code::deadlinePassed}});
    else
        startRecord(state, request, mayBeStarted, actions);
}

void joinPending(request_record &record, const request_arrived &request, action_list &actions)
{
    if (record.replicated && record.pendingReplies.empty())
        actions.emplace_back(query_owner {request.identity, record.owner});
    record.pendingReplies.push_back(request.reply);
}

void handleArrival(request_state &state, const request_arrived &request, base::clock_time now,
                   action_list &actions)
{
    const record_iterator found = state.records.find(request.identity);
    if (found == state.records.end()) {
        handleNewRequest(state, request, now, actions);
        return;
    }
    request_record &record = found->second;
    const bool ended = record.stage == request_stage::ended;
    if (ended && std::holds_alternative<not_run>(*record.outcome) && request.deadline > now)
        startRecord(state, request, false, actions);
    else if (ended)
        actions.emplace_back(reply_to_caller {request.reply, *record.outcome});
    else
        joinPending(record, request, actions);
}

void permitStart(request_record &record, const request_identity &identity, action_list &actions)
{
    record.stage = request_stage::started;
    actions.emplace_back(permit_start {identity, record.owner});
}

void handleClaim(request_state &state, const start_claimed &claim, base::clock_time now,
                 action_list &actions)
{
    const record_iterator found = state.records.find(claim.identity);
    if (found != state.records.end() && found->second.owner == claim.owner
        && (found->second.stage == request_stage::claimed || mayHaveRun(found->second)))
        return; // duplicate claim
    const bool open = found != state.records.end() && found->second.stage == request_stage::offered
        && now < found->second.deadline;
    if (!open) {
        actions.emplace_back(deny_start {claim.identity, claim.owner});
        return;
    }
    request_record &record = found->second;
    record.owner = claim.owner;
    record.stage = request_stage::claimed;
    if (state.hasBackup)
        actions.emplace_back(
            copy_to_backup {claim.identity, claim.owner, record.deadline, record.idempotent});
    else
        permitStart(record, claim.identity, actions);
}

// The replicated request counts as started, as its director may have permitted the start.
void storeCopy(request_state &state, const copy_received &copy, action_list &actions)
{
    request_record record;
    record.deadline = copy.deadline;
    record.idempotent = copy.idempotent;
    record.stage = request_stage::started;
    record.owner = copy.owner;
    record.replicated = true;
    record.mayHaveRunBefore = state.records.contains(copy.identity);
    state.timers.emplace(record.deadline, copy.identity);
    state.records.insert_or_assign(copy.identity, std::move(record));
    actions.emplace_back(acknowledge_copy {copy.identity});
}

void handleCopyAcknowledged(request_state &state, const copy_acknowledged &copied,
                            action_list &actions)
{
    const record_iterator found = state.records.find(copied.identity);
    if (found != state.records.end() && found->second.stage == request_stage::claimed)
        permitStart(found->second, copied.identity, actions);
}

// Returns the record of a request if this agent owns the request, otherwise nullptr: a message of
// any other agent is misdirected or stale.
request_record *findOwnedBy(request_state &state, const request_identity &identity,
                            base::node_id owner)
{
    const record_iterator found = state.records.find(identity);
    if (found == state.records.end() || found->second.owner != owner)
        return nullptr;
    return &found->second;
}

void handleAnswer(request_state &state, const owner_answered &answer, base::clock_time now,
                  action_list &actions)
{
    request_record *record = findOwnedBy(state, answer.identity, answer.owner);
    if (record == nullptr)
        return;
    const bool late = record->stage == request_stage::ended
        && std::holds_alternative<outcome_unknown>(*record->outcome);
    if (mayHaveRun(*record) || late)
        finish(*record, answer.answer, now, actions);
}

void retryOrRefuse(request_state &state, const request_identity &identity, request_record &record,
                   base::error_code reason, base::clock_time now, action_list &actions)
{
    if (!scheduleRetry(state, identity, record, now))
        finishUnstarted(record, reason, now, actions);
}

void handleRefusal(request_state &state, const owner_refused &refusal, base::clock_time now,
                   action_list &actions)
{
    const record_iterator found = state.records.find(refusal.identity);
    if (found == state.records.end() || found->second.stage == request_stage::ended
        || found->second.stage == request_stage::backingOff)
        return;
    request_record &record = found->second;
    // An offered request has no owner yet, so that any agent may refuse it; after the claim only
    // the owner may.
    if (record.stage != request_stage::offered && record.owner != refusal.owner)
        return;
    retryOrRefuse(state, refusal.identity, record, refusal.reason, now, actions);
}

void handleFailedStart(request_state &state, const request_identity &identity,
                       request_record &record, base::clock_time now, action_list &actions)
{
    record.mayHaveRunBefore = true;
    if (record.idempotent && scheduleRetry(state, identity, record, now))
        return;
    finish(record, outcome_unknown {}, now, actions);
}

void handleFailure(request_state &state, const owner_failed &failure, base::clock_time now,
                   action_list &actions)
{
    request_record *record = findOwnedBy(state, failure.identity, failure.owner);
    if (record != nullptr && mayHaveRun(*record))
        handleFailedStart(state, failure.identity, *record, now, actions);
}

void handleOwnerTermination(request_state &state, base::node_id owner, base::clock_time now,
                            action_list &actions)
{
    for (auto it = state.records.begin(); it != state.records.end(); ++it) {
        request_record &record = it->second;
        if (record.owner != owner)
            continue;
        if (mayHaveRun(record))
            handleFailedStart(state, it->first, record, now, actions);
        else if (record.stage == request_stage::claimed)
            retryOrRefuse(state, it->first, record, base::error_code::noServer, now, actions);
    }
}

void handleCancel(request_state &state, const request_identity &identity, base::clock_time now,
                  action_list &actions)
{
    const record_iterator found = state.records.find(identity);
    if (found == state.records.end())
        return;
    request_record &record = found->second;
    if (mayHaveRun(record))
        actions.emplace_back(cancel_at_owner {identity, record.owner});
    else if (isUnstarted(record))
        finishUnstarted(record, base::error_code::workCancelled, now, actions);
}

void assumeDirectorRole(request_state &state, const director_role_assumed &role,
                        base::clock_time now)
{
    if (!role.recordsComplete)
        state.recordsCompleteSince = now;
}

void retryIfDue(const request_identity &identity, request_record &record, base::clock_time now,
                action_list &actions)
{
    if (record.stage != request_stage::backingOff || record.retryAt > now)
        return;
    record.stage = request_stage::offered;
    actions.emplace_back(offer_request {identity, record.deadline});
}

void enforceDeadline(const request_identity &identity, request_record &record, base::clock_time now,
                     action_list &actions)
{
    if (record.stage == request_stage::ended || now < record.deadline)
        return;
    if (!mayHaveRun(record)) {
        finishUnstarted(record, base::error_code::deadlinePassed, now, actions);
        return;
    }
    actions.emplace_back(cancel_at_owner {identity, record.owner});
    finish(record, outcome_unknown {}, now, actions);
}

bool isExpired(const request_record &record, base::clock_time now)
{
    return record.stage == request_stage::ended && record.expiresAt <= now;
}

// Returns when the record changes next if no message arrives.
base::clock_time nextTimer(const request_record &record)
{
    if (record.stage == request_stage::ended)
        return record.expiresAt;
    if (record.stage == request_stage::backingOff)
        return std::min(record.retryAt, record.deadline);
    return record.deadline;
}

void processTimers(request_state &state, base::clock_time now, action_list &actions)
{
    while (!state.timers.empty() && state.timers.begin()->first <= now) {
        const request_identity identity = state.timers.begin()->second;
        state.timers.erase(state.timers.begin());
        const record_iterator found = state.records.find(identity);
        if (found == state.records.end())
            continue;
        enforceDeadline(identity, found->second, now, actions);
        retryIfDue(identity, found->second, now, actions);
        if (isExpired(found->second, now))
            state.records.erase(found);
        else
            state.timers.emplace(std::max(nextTimer(found->second), now + minTimerInterval),
                                 identity);
    }
}

} // namespace

request_step decide(request_state state, const request_message &message, base::clock_time now)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(
            base::overloaded {
                [&](const request_arrived &request) {
                    handleArrival(state, request, now, actions);
                },
                [&](const request_cancelled &request) {
                    handleCancel(state, request.identity, now, actions);
                },
                [&](const start_claimed &request) { handleClaim(state, request, now, actions); },
                [&](const copy_acknowledged &copied) {
                    handleCopyAcknowledged(state, copied, actions);
                },
                [&](const copy_received &copy) { storeCopy(state, copy, actions); },
                [&](const owner_answered &answer) { handleAnswer(state, answer, now, actions); },
                [&](const owner_refused &refusal) { handleRefusal(state, refusal, now, actions); },
                [&](const owner_failed &failure) { handleFailure(state, failure, now, actions); },
                [&](const owner_terminated &termination) {
                    handleOwnerTermination(state, termination.owner, now, actions);
                },
                [&](const director_role_assumed &role) { assumeDirectorRole(state, role, now); },
                [&](const requests_tick &) { processTimers(state, now, actions); },
            },
            message);
    });
    return request_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::requests
