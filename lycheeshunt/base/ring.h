// A bounded queue between threads. No thread spins: a waiting thread sleeps until an item or a free
// place is available, and a thread that also waits on sockets polls descriptor().
//
//     ring<control_message> inbox(256);
//     inbox.push(message);                        // control: blocks while the ring is full
//     if (!packets.tryPush(packet)) ...           // data: dropped and counted when full
//     while (std::optional<control_message> next = inbox.pop()) ...
//
// Thread-safe for any number of producers and consumers. T needs only to be move-constructible or
// copy-constructible; assignment is not required.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace lycheeshunt::base {

template <typename T>
class ring
{
public:
    explicit ring(std::size_t capacity)
        : m_capacity(capacity), m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    ~ring() { ::close(m_descriptor); }

    ring(const ring &) = delete;
    ring &operator=(const ring &) = delete;

    // Returns false, and counts a drop, when the ring is full or closed.
    bool tryPush(T value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_closed || m_items.size() >= m_capacity) {
            ++m_dropped;
            return false;
        }
        append(std::move(value));
        return true;
    }

    // Blocks until there is room. Returns false when the ring is closed.
    bool push(T value)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_hasRoom.wait(lock, [this]() { return m_closed || m_items.size() < m_capacity; });
        if (m_closed)
            return false;
        append(std::move(value));
        return true;
    }

    // Blocks until there is an item. Returns nothing once the ring is closed and empty.
    std::optional<T> pop()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_hasItems.wait(lock, [this]() { return m_closed || !m_items.empty(); });
        return takeFront();
    }

    // Like pop(), but also returns nothing when no item arrives within the timeout.
    std::optional<T> popFor(clock_time timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_hasItems.wait_for(lock, std::chrono::milliseconds(timeout.millis()),
                            [this]() { return m_closed || !m_items.empty(); });
        return takeFront();
    }

    std::optional<T> tryPop()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return takeFront();
    }

    // Rejects further pushes and wakes all waiting threads. Consumers can still pop the remaining
    // items.
    void close()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_closed = true;
        setReadable();
        m_hasItems.notify_all();
        m_hasRoom.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_closed;
    }

    std::size_t depth() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_items.size();
    }

    std::uint64_t dropped() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_dropped;
    }

    // An event descriptor that is readable while the ring holds an item or is closed.
    int descriptor() const { return m_descriptor; }

private:
    void append(T value)
    {
        m_items.emplace_back(std::move(value));
        if (m_items.size() == 1)
            setReadable();
        m_hasItems.notify_one();
    }

    std::optional<T> takeFront()
    {
        if (m_items.empty())
            return std::nullopt;
        std::optional<T> value(std::move(m_items.front()));
        m_items.pop_front();
        if (m_items.empty() && !m_closed)
            clearReadable();
        m_hasRoom.notify_one();
        return value;
    }

    void setReadable() const { eventfd_write(m_descriptor, 1); }

    void clearReadable() const
    {
        eventfd_t ignored = 0;
        eventfd_read(m_descriptor, &ignored);
    }

    const std::size_t m_capacity;
    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::condition_variable m_hasItems;
    std::condition_variable m_hasRoom;
    std::deque<T> m_items;
    std::uint64_t m_dropped = 0;
    bool m_closed = false;
};

} // namespace lycheeshunt::base
