// What an entry remembers of flows, so that their packets need not pass by their directors.
// Bounded: of two halves the older one is forgotten when the newer one is full, and a hint that is
// used moves to the newer. Losing a hint loses nothing but a hop.
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
    // Some 60 bytes each; an entry of the size to design for has 9,000 open flows.
    static constexpr std::size_t halfCapacity = 16'384;

    explicit flow_hints(std::size_t capacityOfHalf = halfCapacity) : m_capacity(capacityOfHalf) { }

    // Null when nothing is known. Valid until the next call that changes the table.
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
