#include "lycheeshunt/requests/decision.h"

#include "lycheeshunt/base/overloaded.h"

#include <algorithm>

namespace lycheeshunt::requests {

namespace {

using request_step = base::step<request_state, request_action>;
using action_list = std::vector<request_action>;
using record_place = std::map<request_identity, request_record>::iterator;

// Retries are at most this share of first attempts, plus a small reserve.
constexpr double retryShare = 0.1;
constexpr double maxRetryTokens = 10;
constexpr std::uint32_t maxRetries = 3;
// Records are looked at no more often than this.
constexpr base::clock_time tickSpan = base::clock_time::ofMillis(1);
constexpr base::clock_time firstBackoff = base::clock_time::ofMillis(20);

void finish(request_record &record, request_outcome outcome, base::clock_time now,
            action_list &actions)
{
    record.stage = request_stage::ended;
    record.forgetAt = now + retention;
    record.outcome = std::make_shared<const request_outcome>(std::move(outcome));
    for (const reply_handle reply : record.waiting)
        actions.emplace_back(reply_to_caller {reply, *record.outcome});
    record.waiting.clear();
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

// Half to one and a half of a span that doubles with each retry.
base::clock_time backoffOf(request_state &state, std::uint32_t retries)
{
    const std::int64_t span = firstBackoff.millis() << retries;
    std::uniform_int_distribution<std::int64_t> jitter(span / 2, span + span / 2);
    return base::clock_time::ofMillis(jitter(state.random));
}

// Precondition: the request was certainly not run, or is idempotent.
bool retryLater(request_state &state, const request_identity &identity, request_record &record,
                base::clock_time now)
{
    if (record.retries >= maxRetries || state.retryTokens < 1)
        return false;
    const base::clock_time at = now + backoffOf(state, record.retries);
    if (at >= record.deadline)
        return false;
    state.retryTokens -= 1;
    ++record.retries;
    record.retryAt = at;
    state.due.emplace(at, identity);
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

void begin(request_state &state, const request_arrived &request, bool mayHaveRunBefore,
           action_list &actions)
{
    state.retryTokens = std::min(maxRetryTokens, state.retryTokens + retryShare);
    request_record record;
    record.deadline = request.deadline;
    record.idempotent = request.idempotent;
    record.mayHaveRunBefore = mayHaveRunBefore;
    record.waiting.push_back(request.reply);
    state.due.emplace(record.deadline, request.identity);
    state.records.insert_or_assign(request.identity, std::move(record));
    actions.emplace_back(offer_request {request.identity, request.deadline});
}

// A request that has no record can run only if one would be here had it been started before.
void arriveUnknown(request_state &state, const request_arrived &request, base::clock_time now,
                   action_list &actions)
{
    const bool mayBeStarted = request.firstSentAt < std::max(state.recordsSince, now - retention);
    const bool late = request.deadline <= now;
    if (mayBeStarted && (late || !request.idempotent))
        actions.emplace_back(reply_to_caller {request.reply, outcome_unknown {}});
    else if (late)
        actions.emplace_back(
            reply_to_caller {request.reply, not_run {base::error_code::deadlinePassed}});
    else
        begin(state, request, mayBeStarted, actions);
}

void join(request_record &record, const request_arrived &request, action_list &actions)
{
    if (record.fromCopy && record.waiting.empty())
        actions.emplace_back(query_owner {request.identity, record.owner});
    record.waiting.push_back(request.reply);
}

void arrive(request_state &state, const request_arrived &request, base::clock_time now,
            action_list &actions)
{
    const record_place found = state.records.find(request.identity);
    if (found == state.records.end()) {
        arriveUnknown(state, request, now, actions);
        return;
    }
    request_record &record = found->second;
    const bool ended = record.stage == request_stage::ended;
    if (ended && std::holds_alternative<not_run>(*record.outcome) && request.deadline > now)
        begin(state, request, false, actions);
    else if (ended)
        actions.emplace_back(reply_to_caller {request.reply, *record.outcome});
    else
        join(record, request, actions);
}

void permit(request_record &record, const request_identity &identity, action_list &actions)
{
    record.stage = request_stage::started;
    actions.emplace_back(permit_start {identity, record.owner});
}

void claim(request_state &state, const start_claimed &claim, base::clock_time now,
           action_list &actions)
{
    const record_place found = state.records.find(claim.identity);
    if (found != state.records.end() && found->second.owner == claim.owner
        && (found->second.stage == request_stage::claimed || mayHaveRun(found->second)))
        return; // a claim that came twice
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
        permit(record, claim.identity, actions);
}

// The copy counts as started: its director may have let the owner go on.
void holdCopy(request_state &state, const copy_received &copy, action_list &actions)
{
    request_record record;
    record.deadline = copy.deadline;
    record.idempotent = copy.idempotent;
    record.stage = request_stage::started;
    record.owner = copy.owner;
    record.fromCopy = true;
    record.mayHaveRunBefore = state.records.contains(copy.identity);
    state.due.emplace(record.deadline, copy.identity);
    state.records.insert_or_assign(copy.identity, std::move(record));
    actions.emplace_back(acknowledge_copy {copy.identity});
}

void backupCopied(request_state &state, const copy_acknowledged &copied, action_list &actions)
{
    const record_place found = state.records.find(copied.identity);
    if (found != state.records.end() && found->second.stage == request_stage::claimed)
        permit(found->second, copied.identity, actions);
}

// The record of a request that this very owner was given; an answer from anyone else is crossed.
request_record *ownedBy(request_state &state, const request_identity &identity, base::node_id owner)
{
    const record_place found = state.records.find(identity);
    if (found == state.records.end() || found->second.owner != owner)
        return nullptr;
    return &found->second;
}

void answered(request_state &state, const owner_answered &answer, base::clock_time now,
              action_list &actions)
{
    request_record *record = ownedBy(state, answer.identity, answer.owner);
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
    if (!retryLater(state, identity, record, now))
        finishUnstarted(record, reason, now, actions);
}

void refused(request_state &state, const owner_refused &refusal, base::clock_time now,
             action_list &actions)
{
    const record_place found = state.records.find(refusal.identity);
    if (found == state.records.end() || found->second.stage == request_stage::ended
        || found->second.stage == request_stage::backingOff)
        return;
    request_record &record = found->second;
    // Offers go out without the owner's name; after the claim only the owner may refuse.
    if (record.stage != request_stage::offered && record.owner != refusal.owner)
        return;
    retryOrRefuse(state, refusal.identity, record, refusal.reason, now, actions);
}

void mayHaveRunAndFailed(request_state &state, const request_identity &identity,
                         request_record &record, base::clock_time now, action_list &actions)
{
    record.mayHaveRunBefore = true;
    if (record.idempotent && retryLater(state, identity, record, now))
        return;
    finish(record, outcome_unknown {}, now, actions);
}

void failed(request_state &state, const owner_failed &failure, base::clock_time now,
            action_list &actions)
{
    request_record *record = ownedBy(state, failure.identity, failure.owner);
    if (record != nullptr && mayHaveRun(*record))
        mayHaveRunAndFailed(state, failure.identity, *record, now, actions);
}

void ownerLost(request_state &state, base::node_id owner, base::clock_time now,
               action_list &actions)
{
    for (auto it = state.records.begin(); it != state.records.end(); ++it) {
        request_record &record = it->second;
        if (record.owner != owner)
            continue;
        if (mayHaveRun(record))
            mayHaveRunAndFailed(state, it->first, record, now, actions);
        else if (record.stage == request_stage::claimed)
            retryOrRefuse(state, it->first, record, base::error_code::noServer, now, actions);
    }
}

void cancel(request_state &state, const request_identity &identity, base::clock_time now,
            action_list &actions)
{
    const record_place found = state.records.find(identity);
    if (found == state.records.end())
        return;
    request_record &record = found->second;
    if (mayHaveRun(record))
        actions.emplace_back(cancel_at_owner {identity, record.owner});
    else if (isUnstarted(record))
        finishUnstarted(record, base::error_code::workCancelled, now, actions);
}

void takeRole(request_state &state, const director_role_assumed &role, base::clock_time now)
{
    if (!role.recordsWhole)
        state.recordsSince = now;
}

void offerAgain(const request_identity &identity, request_record &record, base::clock_time now,
                action_list &actions)
{
    if (record.stage != request_stage::backingOff || record.retryAt > now)
        return;
    record.stage = request_stage::offered;
    actions.emplace_back(offer_request {identity, record.deadline});
}

void passDeadline(const request_identity &identity, request_record &record, base::clock_time now,
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

bool isForgotten(const request_record &record, base::clock_time now)
{
    return record.stage == request_stage::ended && record.forgetAt <= now;
}

// When time alone will next change the record.
base::clock_time dueOf(const request_record &record)
{
    if (record.stage == request_stage::ended)
        return record.forgetAt;
    if (record.stage == request_stage::backingOff)
        return std::min(record.retryAt, record.deadline);
    return record.deadline;
}

void passTime(request_state &state, base::clock_time now, action_list &actions)
{
    while (!state.due.empty() && state.due.begin()->first <= now) {
        const request_identity identity = state.due.begin()->second;
        state.due.erase(state.due.begin());
        const record_place found = state.records.find(identity);
        if (found == state.records.end())
            continue;
        passDeadline(identity, found->second, now, actions);
        offerAgain(identity, found->second, now, actions);
        if (isForgotten(found->second, now))
            state.records.erase(found);
        else
            state.due.emplace(std::max(dueOf(found->second), now + tickSpan), identity);
    }
}

} // namespace

request_step decide(request_state state, const request_message &message, base::clock_time now)
{
    action_list actions;
    std::visit(
        base::overloaded {
            [&](const request_arrived &request) { arrive(state, request, now, actions); },
            [&](const request_cancelled &request) {
                cancel(state, request.identity, now, actions);
            },
            [&](const start_claimed &request) { claim(state, request, now, actions); },
            [&](const copy_acknowledged &copied) { backupCopied(state, copied, actions); },
            [&](const copy_received &copy) { holdCopy(state, copy, actions); },
            [&](const owner_answered &answer) { answered(state, answer, now, actions); },
            [&](const owner_refused &refusal) { refused(state, refusal, now, actions); },
            [&](const owner_failed &failure) { failed(state, failure, now, actions); },
            [&](const owner_terminated &loss) { ownerLost(state, loss.owner, now, actions); },
            [&](const director_role_assumed &role) { takeRole(state, role, now); },
            [&](const requests_tick &) { passTime(state, now, actions); },
        },
        message);
    return request_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::requests
