// The callers in the tests of the flow decisions, by index.

#pragma once

#include "lycheeshunt/flows/fake_caller_test.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheeshunt::flows {

class fake_callers
{
public:
    std::size_t open(const base::endpoint &address, base::clock_time now)
    {
        const std::size_t index = m_callers.size();
        fake_caller caller;
        caller.startSending(fake_caller::packet::first, now);
        m_callers.push_back(caller);
        m_keys.push_back(
            base::flow_key {base::endpoint {0x0a000001, std::uint16_t(index + 1)}, address, 6});
        m_callerOf.emplace(m_keys.back(), index);
        return index;
    }

    // Opens a new connection from the same address and port.
    void reopen(std::size_t index, base::clock_time now)
    {
        m_callers[index] = fake_caller {};
        m_callers[index].startSending(fake_caller::packet::first, now);
    }

    void sendOnAll(base::clock_time now)
    {
        for (fake_caller &caller : m_callers) {
            if (caller.state == fake_caller::connection_state::open && !caller.isWaiting)
                caller.startSending(fake_caller::packet::data, now);
        }
    }

    void close(std::size_t index, base::clock_time now)
    {
        m_callers[index].startSending(fake_caller::packet::last, now);
    }

    std::size_t size() const { return m_callers.size(); }
    fake_caller &operator[](std::size_t index) { return m_callers[index]; }
    const fake_caller &operator[](std::size_t index) const { return m_callers[index]; }
    const base::flow_key &keyOf(std::size_t index) const { return m_keys[index]; }
    packets::ip_summary summaryOf(std::size_t index) const
    {
        return m_callers[index].summary(m_keys[index]);
    }

    // Null for a key that no caller uses.
    fake_caller *find(const base::flow_key &key)
    {
        const auto found = m_callerOf.find(key);
        return found == m_callerOf.end() ? nullptr : &m_callers[found->second];
    }

    std::set<std::size_t> inState(fake_caller::connection_state state) const
    {
        std::set<std::size_t> found;
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            if (m_callers[i].state == state)
                found.insert(i);
        }
        return found;
    }

    // Callers with an open connection to this server.
    std::set<std::size_t> openAt(const std::string &server) const
    {
        std::set<std::size_t> found;
        for (const std::size_t index : inState(fake_caller::connection_state::open)) {
            if (m_callers[index].server == server)
                found.insert(index);
        }
        return found;
    }

    // Callers that were answered by two servers.
    std::size_t countSplit() const
    {
        std::size_t count = 0;
        for (const fake_caller &caller : m_callers)
            count += caller.split ? 1 : 0;
        return count;
    }

private:
    std::vector<fake_caller> m_callers;
    std::vector<base::flow_key> m_keys;
    std::map<base::flow_key, std::size_t> m_callerOf;
};

} // namespace lycheeshunt::flows
