/**
 * @file clock_func.h
 * Clocks and random numbers for the shells. The cores receive both as parameters.
 */
#pragma once

#include "core_type.h"

namespace hawthorncroft {

/** @return Monotonic time since an arbitrary epoch; includes time during which the VM was suspended. */
TimePoint monotonicNow();

/** @return Wall-clock time in minutes since the Unix epoch. */
std::uint64_t wallClockMinutes();

/** @return Wall-clock time in seconds since the Unix epoch. */
std::uint64_t wallClockSeconds();

/**
 * Gets a random number from the kernel.
 * @return The number, never zero.
 * @throws std::runtime_error When getrandom() fails.
 */
std::uint64_t randomNumber();

} // namespace hawthorncroft
