/**
 * @file ring_type.h
 * Bounded queue between two threads. When it is full, a new item is dropped and counted, so the producer never blocks.
 */
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <utility>

namespace hawthorncroft {

/**
 * Lock-free ring buffer with one producer and one consumer thread. The consumer is woken once per batch of items.
 * @tparam Item Movable item type.
 */
template <typename Item> class Ring {
public:
    /**
     * @param capacity Maximum number of items.
     * @param wake Called on the producer's thread to schedule the consumer; must not run the consumer itself.
     */
    Ring(std::size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    /**
     * Appends an item. Must be called by the producer only.
     * @param item The item.
     * @return False when the ring is full and the item was dropped.
     */
    bool push(Item item)
    {
        bool isStored = m_queue.push(std::move(item));
        if (!isStored)
            m_dropped.fetch_add(1, std::memory_order_relaxed);
        if (!m_isScheduled.exchange(true, std::memory_order_acq_rel))
            m_wake();
        return isStored;
    }

    /**
     * Removes all items. Must be called by the consumer only.
     * @param consume Called with each item, in order.
     */
    template <typename Consume> void drain(Consume consume)
    {
        // The flag is cleared before the items are read, so that an item pushed later schedules the consumer again.
        m_isScheduled.exchange(false, std::memory_order_acq_rel);
        m_queue.consume_all(consume);
    }

    /** @return Number of failed pushes. */
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<Item> m_queue;
    std::function<void()> m_wake;
    std::atomic<bool> m_isScheduled { false };
    std::atomic<std::uint64_t> m_dropped { 0 };
};

} // namespace hawthorncroft
