/**
 * @file backlog_type.h
 * Items that wait for room in a ring and must not be lost, in order.
 */
#pragma once

#include "ring_type.h"

#include <deque>

namespace hawthorncroft {

/**
 * Producer's end of a ring for items whose number is bounded elsewhere, such as by open flows. Used by one thread.
 * @tparam Item Copyable type of the items.
 */
template <typename Item> class Backlog {
public:
    /** Sets the ring. Called before anything is pushed. */
    void connect(Ring<Item>& ring) { m_ring = &ring; }

    /** Adds an item behind all that wait. */
    void push(Item item)
    {
        m_waiting.push_back(std::move(item));
        flush();
    }

    /** Moves to the ring what it has room for. Called from a timer too, because a full ring does not wake its producer.
     */
    void flush()
    {
        while (!m_waiting.empty() && m_ring->push(m_waiting.front()))
            m_waiting.pop_front();
    }

    std::size_t size() const { return m_waiting.size(); }

private:
    Ring<Item>* m_ring {};
    std::deque<Item> m_waiting;
};

} // namespace hawthorncroft
