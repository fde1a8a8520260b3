/**
 * @file ring_type.h
 * Bounded ring from one thread to another. A full ring drops the item and counts it, so the producer never blocks.
 */
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <utility>

namespace hawthorncroft {

/**
 * Ring with one producer thread and one consumer thread. The consumer is woken once for any number of items.
 * @tparam Item Movable type of the items.
 */
template <typename Item> class Ring {
public:
    /**
     * @param capacity Items that the ring holds.
     * @param wake Called in the producer's thread when the consumer has to be scheduled; must only schedule.
     */
    Ring(std::size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    /**
     * Adds an item. Called by the producer only.
     * @param item The item.
     * @return Whether there was room.
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
     * Hands all items to a function. Called by the consumer only.
     * @param consume Called once for each item, in order.
     */
    template <typename Consume> void drain(Consume consume)
    {
        // Cleared before reading: an item that arrives later schedules the consumer again.
        m_isScheduled.exchange(false, std::memory_order_acq_rel);
        m_queue.consume_all(consume);
    }

    /** @return Items dropped since the start. */
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<Item> m_queue;
    std::function<void()> m_wake;
    std::atomic<bool> m_isScheduled { false };
    std::atomic<std::uint64_t> m_dropped { 0 };
};

} // namespace hawthorncroft
