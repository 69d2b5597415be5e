#include "lycheeshunt/replication/replication_duty.h"

#include "lycheeshunt/base/log.h"

namespace lycheeshunt::replication {

namespace {
constexpr std::size_t proposalCapacity = 256;
}

replication_duty::replication_duty(log_store store, commit_sink sink)
    : m_store(std::move(store)), m_sink(std::move(sink)), m_proposals(proposalCapacity),
      m_thread([this]() { run(); })
{
}

replication_duty::~replication_duty()
{
    stop();
}

void replication_duty::stop()
{
    m_proposals.close();
    if (m_thread.joinable())
        m_thread.join();
}

void replication_duty::run()
{
    std::uint64_t last = 0;
    for (const log_entry &entry : m_store.recovered()) {
        last = entry.index.value();
        m_sink(entry);
    }
    while (const std::optional<proposal> next = m_proposals.pop()) {
        const log_entry entry {base::generation(last + 1), 1, next->kind, base::clock_time::wall(),
                               next->payload};
        if (const std::optional<base::error> failure = m_store.append(entry)) {
            base::logError("replication", failure->text());
            m_proposals.close();
            return;
        }
        ++last;
        m_sink(entry);
    }
}

} // namespace lycheeshunt::replication
