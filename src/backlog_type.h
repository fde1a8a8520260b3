/**
 * @file backlog_type.h
 * Unbounded queue in front of a bounded ring, for items that must not be lost.
 */
#pragma once

#include "ring_type.h"

#include <deque>

namespace hawthorncroft {

/**
 * Producer side of a ring that keeps items in order while the ring is full, instead of dropping them. Meant for items
 * whose number is bounded elsewhere, such as by the open flows. Used by the producer thread only.
 * @tparam Item Copyable type of the items.
 */
template <typename Item> class Backlog {
public:
    /** Sets the ring. Must be called before the first push. */
    void connect(Ring<Item>& ring) { m_ring = &ring; }

    /** Appends an item, and moves waiting items to the ring as far as it has room. */
    void push(Item item)
    {
        m_waiting.push_back(std::move(item));
        flush();
    }

    /**
     * Moves waiting items to the ring as far as it has room. To be called from a timer too, because a ring does not
     * notify its producer when it has room again.
     */
    void flush()
    {
        while (!m_waiting.empty() && m_ring->push(m_waiting.front()))
            m_waiting.pop_front();
    }

    /** @return Number of items that are not in the ring yet. */
    std::size_t size() const { return m_waiting.size(); }

private:
    Ring<Item>* m_ring {};
    std::deque<Item> m_waiting;
};

} // namespace hawthorncroft
