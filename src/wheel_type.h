/**
 * @file wheel_type.h
 * Timer wheel with intrusive hooks: one timer per hook, set and cancelled in constant time. The wheel owns no hooks.
 */
#pragma once

#include "core_type.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace hawthorncroft {

/** Node of a timer in the list of its slot. A hook must not be moved or copied while it is linked. */
struct WheelHook {
    WheelHook* next {};
    WheelHook* previous {};
    TimePoint dueAt; ///< Valid while linked.

    /** @return Whether a timer is set. */
    bool isLinked() const { return next != nullptr; }

    /** Cancels the timer, if one is set. */
    void unlink()
    {
        if (!isLinked())
            return;
        next->previous = previous;
        previous->next = next;
        next = previous = nullptr;
    }

    /** Inserts this unlinked hook after `head`. */
    void linkAfter(WheelHook& head)
    {
        next = head.next;
        previous = &head;
        head.next->previous = this;
        head.next = this;
    }
};

/** 4096 slots of 4 ms span 16 s. A timer that is due later is rescheduled once per span. */
class TimerWheel {
public:
    static constexpr std::int64_t slotUs = 4000; ///< Length of a slot in microseconds.
    static constexpr std::size_t slots = 4096;

    TimerWheel()
    {
        for (auto& slot : m_slots)
            slot.next = slot.previous = &slot;
    }
    TimerWheel(const TimerWheel&) = delete;
    TimerWheel& operator=(const TimerWheel&) = delete;

    /**
     * Sets or moves a timer.
     * @param hook The timer.
     * @param at When it is due; a time in the past is due when the wheel advances to the next slot.
     */
    void schedule(WheelHook& hook, TimePoint at)
    {
        hook.unlink();
        hook.dueAt = at;
        std::int64_t tick = (at.us + slotUs - 1) / slotUs;
        tick = std::max(tick, m_tick + 1);
        tick = std::min(tick, m_tick + static_cast<std::int64_t>(slots) - 1);
        hook.linkAfter(slotOf(tick));
    }

    /**
     * Calls `due(hook)` for each timer that is due. The callback may set, cancel and destroy any timer.
     * @param now The current time; must not be earlier than in the previous call.
     * @param due Callback with a `WheelHook&` that is no longer linked.
     */
    template <typename Due> void advance(TimePoint now, Due due)
    {
        std::int64_t last = now.us / slotUs;
        if (last - m_tick > static_cast<std::int64_t>(slots))
            m_tick = last - static_cast<std::int64_t>(slots);
        while (m_tick < last) {
            ++m_tick;
            expireSlot(slotOf(m_tick), now, due);
        }
    }

private:
    WheelHook& slotOf(std::int64_t tick) { return m_slots[static_cast<std::size_t>(tick) % slots]; }

    template <typename Due> void expireSlot(WheelHook& slot, TimePoint now, Due& due)
    {
        if (slot.next == &slot)
            return;
        // The timers are moved to a local list first, because a callback may set a timer in the same slot.
        WheelHook pending;
        pending.next = slot.next;
        pending.previous = slot.previous;
        pending.next->previous = pending.previous->next = &pending;
        slot.next = slot.previous = &slot;
        while (pending.next != &pending) {
            WheelHook& hook = *pending.next;
            hook.unlink();
            if (hook.dueAt <= now)
                due(hook);
            else
                schedule(hook, hook.dueAt);
        }
    }

    std::array<WheelHook, slots> m_slots;
    std::int64_t m_tick {}; ///< Number of the last expired slot, counted from time zero.
};

} // namespace hawthorncroft
