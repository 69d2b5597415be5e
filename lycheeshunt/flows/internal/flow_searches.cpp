#include "lycheeshunt/flows/internal/flow_searches.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

constexpr std::size_t maxSearches = 4096;
// Longer than callers wait for an answer on a flow.
constexpr base::clock_time searchRetention = base::clock_time::ofSeconds(15);
// A trial that takes longer has lost its packet. Each server takes a few milliseconds.
constexpr base::clock_time trialTimeout = base::clock_time::ofMillis(600);
constexpr std::uint32_t maxLostTrials = 1;
constexpr std::size_t sweepSteps = 100;

flow_search searchOf(const flow_context &context, const base::flow_key &key)
{
    const flow_search *known = context.state.searches.find(key);
    return known != nullptr ? *known : flow_search {context.now, context.now};
}

void put(flow_context &context, const base::flow_key &key, const flow_search &search)
{
    flow_state &state = context.state;
    if (state.searches.find(key) == nullptr && state.searches.size() >= maxSearches)
        state.searches.erase(state.searches.begin()->first);
    state.searches.put(key, search);
}

std::vector<base::node_id> joined(std::vector<base::node_id> nodes,
                                  const std::vector<base::node_id> &more)
{
    for (const base::node_id node : more) {
        if (std::find(nodes.begin(), nodes.end(), node) == nodes.end())
            nodes.push_back(node);
    }
    return nodes;
}

} // namespace

std::vector<base::node_id> excludedFrom(const flow_state &state, const base::flow_key &key)
{
    const flow_search *known = state.searches.find(key);
    return known != nullptr ? known->excluded : std::vector<base::node_id> {};
}

void excludeAgents(flow_context &context, const base::flow_key &key,
                   const std::vector<base::node_id> &agents)
{
    const flow_search known = searchOf(context, key);
    put(context, key,
        flow_search {known.startedAt, context.now, joined(known.excluded, agents), known.onTrial,
                     known.trialAt, known.lostTrials, known.isDoubtful});
}

bool mayTry(const flow_context &context, const base::flow_key &key)
{
    const flow_search *known = context.state.searches.find(key);
    return known == nullptr
        || (context.now - known->startedAt < maxTrialPeriod && known->lostTrials <= maxLostTrials);
}

bool hasTrial(const flow_state &state, const base::flow_key &key)
{
    const flow_search *known = state.searches.find(key);
    return known != nullptr && !known->onTrial.empty();
}

bool isOnTrial(const flow_context &context, const base::flow_key &key)
{
    return hasTrial(context.state, key)
        && context.now - context.state.searches.find(key)->trialAt < trialTimeout;
}

void beginTrial(flow_context &context, const base::flow_key &key,
                const std::vector<base::node_id> &candidates)
{
    const flow_search known = searchOf(context, key);
    const bool isLost = !known.onTrial.empty();
    put(context, key,
        flow_search {known.startedAt, context.now, known.excluded, candidates, context.now,
                     known.lostTrials + (isLost ? 1 : 0), known.isDoubtful || isLost});
}

bool endTrial(flow_context &context, const base::flow_key &key, bool isDoubtful)
{
    if (!hasTrial(context.state, key))
        return false;
    const flow_search before = *context.state.searches.find(key);
    put(context, key,
        flow_search {before.startedAt,
                     context.now,
                     joined(before.excluded, before.onTrial),
                     {},
                     before.trialAt,
                     before.lostTrials,
                     before.isDoubtful || isDoubtful});
    return true;
}

bool isSearchDoubtful(const flow_state &state, const base::flow_key &key)
{
    const flow_search *known = state.searches.find(key);
    return known != nullptr && known->isDoubtful;
}

void forgetSearch(flow_state &state, const base::flow_key &key)
{
    state.searches.erase(key);
}

void searchTick(flow_context &context)
{
    flow_state &state = context.state;
    for (const base::flow_key &key : state.searches.nextKeys(sweepSteps)) {
        const flow_search *known = state.searches.find(key);
        if (known != nullptr && context.now - known->lastUsed >= searchRetention)
            state.searches.erase(key);
    }
}

} // namespace lycheeshunt::flows::internal
