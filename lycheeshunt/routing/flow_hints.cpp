#include "lycheeshunt/routing/flow_hints.h"

namespace lycheeshunt::routing {

const flow_hint *flow_hints::find(const base::flow_key &key)
{
    const auto found = m_newer.find(key);
    if (found != m_newer.end())
        return &found->second;
    const auto older = m_older.find(key);
    if (older == m_older.end())
        return nullptr;
    const flow_hint hint = older->second;
    m_older.erase(older);
    put(key, hint);
    return &m_newer.find(key)->second;
}

void flow_hints::put(const base::flow_key &key, const flow_hint &hint)
{
    if (m_newer.size() >= m_capacity) {
        m_older = std::move(m_newer);
        m_newer = half();
    }
    m_older.erase(key);
    m_newer.erase(key);
    m_newer.emplace(key, hint);
}

void flow_hints::erase(const base::flow_key &key)
{
    m_newer.erase(key);
    m_older.erase(key);
}

} // namespace lycheeshunt::routing
