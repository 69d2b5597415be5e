// A hash table from flow keys to immutable values. put() replaces a value in place, without
// allocation if the value is copied without one. nextKeys() iterates over the table in small steps,
// to find expired values.
//
//     flow_map<owned_flow> owned;
//     owned.put(key, owned_flow {now, refreshAt, flow_phase::open});
//     for (const base::flow_key &key : owned.nextKeys(step)) ...
//
// Not thread-safe.

#pragma once

#include "lycheeshunt/base/flow_key.h"

#include <memory>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheeshunt::flows {

template <typename value_type>
class flow_map
{
public:
    using container = std::unordered_map<base::flow_key, value_type>;

    std::size_t size() const { return m_values.size(); }
    typename container::const_iterator begin() const { return m_values.begin(); }
    typename container::const_iterator end() const { return m_values.end(); }

    // Null when the table has no such flow. Valid until the flow is put or erased.
    const value_type *find(const base::flow_key &key) const
    {
        const auto found = m_values.find(key);
        return found == m_values.end() ? nullptr : &found->second;
    }

    void put(const base::flow_key &key, value_type value)
    {
        const auto found = m_values.find(key);
        if (found == m_values.end()) {
            m_values.emplace(key, std::move(value));
            return;
        }
        if constexpr (std::is_nothrow_move_constructible_v<value_type>) {
            std::destroy_at(&found->second);
            std::construct_at(&found->second, std::move(value));
        } else {
            // The old value stays whole if the new one can't be copied.
            container replacement;
            replacement.emplace(key, std::move(value));
            m_values.erase(found);
            m_values.insert(replacement.extract(replacement.begin()));
        }
    }

    void erase(const base::flow_key &key) { m_values.erase(key); }

    // The keys in the next 1/steps of the table; continues at the beginning after the end.
    std::vector<base::flow_key> nextKeys(std::size_t steps)
    {
        std::vector<base::flow_key> keys;
        const std::size_t buckets = m_values.bucket_count();
        for (std::size_t i = 0; i < buckets / steps + 1; ++i) {
            m_position = (m_position + 1) % buckets;
            for (auto it = m_values.cbegin(m_position); it != m_values.cend(m_position); ++it)
                keys.push_back(it->first);
        }
        return keys;
    }

private:
    container m_values;
    std::size_t m_position = 0;
};

} // namespace lycheeshunt::flows
