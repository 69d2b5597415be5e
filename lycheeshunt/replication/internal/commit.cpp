#include "lycheeshunt/replication/internal/commit.h"

namespace lycheeshunt::replication::internal {

namespace {

const configuration &configurationAt(const replica_state &state, base::generation index)
{
    const indexed_configuration *found = &state.configurations.front();
    for (const indexed_configuration &candidate : state.configurations) {
        if (candidate.index <= index)
            found = &candidate;
    }
    return found->configuration;
}

} // namespace

void commitUpTo(replica_context context, base::generation index)
{
    replica_state &state = context.state;
    const base::generation last = std::min(index, state.log.lastIndex());
    if (last <= state.commit)
        return;
    context.actions.emplace_back(commit_entries {state.log.between(state.commit, last)});
    state.commit = last;
}

void handleSnapshotTaken(replica_context context, const snapshot_taken &taken)
{
    replica_state &state = context.state;
    const std::optional<std::uint64_t> term = state.log.termAt(taken.index);
    if (taken.index > state.commit || taken.index <= state.log.baseIndex() || !term)
        return;
    const configuration members = configurationAt(state, taken.index);
    state.latestSnapshot
        = std::make_shared<const snapshot>(snapshot {taken.index, *term, members, taken.entries});
    state.log.dropUpTo(taken.index);
    while (state.configurations.size() > 1
           && std::next(state.configurations.begin())->index <= taken.index)
        state.configurations.pop_front();
    context.actions.emplace_back(persist_snapshot {state.latestSnapshot, false});
}

} // namespace lycheeshunt::replication::internal
