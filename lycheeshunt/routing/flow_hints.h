// An entry's cache of flow owners, which spares packets the hop through their directors. Bounded:
// the cache has two halves, the older half is evicted when the newer one is full, and a hint that
// is looked up moves to the newer half. An evicted hint costs only an extra hop.
//
//     hints.put(key, flow_hint {service, owner, now});
//     if (const flow_hint *hint = hints.find(key)) ...
//
// Not thread-safe: the entry's packet thread alone uses it.

#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/routing/flow_hint.h"

#include <unordered_map>

namespace lycheeshunt::routing {

class flow_hints
{
public:
    // A hint takes about 60 bytes; an entry is designed for 9,000 open flows.
    static constexpr std::size_t halfCapacity = 16'384;

    explicit flow_hints(std::size_t maxHalfSize = halfCapacity) : m_capacity(maxHalfSize) { }

    // Null when there is no hint. The pointer is valid until the next call of a member function
    // that is not const.
    const flow_hint *find(const base::flow_key &key);
    void put(const base::flow_key &key, const flow_hint &hint);
    void erase(const base::flow_key &key);
    std::size_t size() const { return m_newer.size() + m_older.size(); }

private:
    using half = std::unordered_map<base::flow_key, flow_hint>;

    std::size_t m_capacity;
    half m_newer;
    half m_older;
};

} // namespace lycheeshunt::routing
