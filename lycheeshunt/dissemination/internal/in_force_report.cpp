#include "lycheeshunt/dissemination/internal/in_force_report.h"

#include "lycheeshunt/dissemination/publisher_state.h"

namespace lycheeshunt::dissemination::internal {

namespace {

// The latest generation acknowledged by each node whose current incarnation has a stream.
std::map<base::node_id, base::generation> reachedGenerations(const publisher_state &state)
{
    std::map<base::node_id, base::generation> reached;
    for (auto it = state.subscribers.begin(); it != state.subscribers.end(); ++it) {
        const subscriber &receiver = it->second;
        const auto member = state.view->members.find(receiver.node);
        if (member == state.view->members.end()
            || member->second.incarnation != receiver.incarnation)
            continue;
        base::generation &best = reached[receiver.node];
        best = std::max(best, receiver.acknowledged);
    }
    return reached;
}

void addName(std::vector<std::string> &names, std::size_t &count, const std::string &name)
{
    ++count;
    if (names.size() < maxInForceAnswerNames)
        names.push_back(name);
}

} // namespace

in_force_answer answerTo(const publisher_state &state, const in_force_query &query)
{
    const std::map<base::node_id, base::generation> reached = reachedGenerations(state);
    std::vector<std::string> behind;
    std::vector<std::string> unreachable;
    std::size_t behindCount = 0;
    std::size_t unreachableCount = 0;
    for (auto it = state.view->members.begin(); it != state.view->members.end(); ++it) {
        const auto found = reached.find(it->first);
        if (found == reached.end())
            addName(unreachable, unreachableCount, it->second.name);
        else if (found->second < query.at)
            addName(behind, behindCount, it->second.name);
    }
    return in_force_answer {query.request,     query.at,    state.view,
                            std::move(behind), behindCount, std::move(unreachable),
                            unreachableCount};
}

} // namespace lycheeshunt::dissemination::internal
