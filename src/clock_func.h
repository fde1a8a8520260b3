/**
 * @file clock_func.h
 * Clocks and random numbers for the shells. The cores take both as inputs.
 */
#pragma once

#include "core_type.h"

namespace hawthorncroft {

/** @return Monotonic time since an arbitrary start. */
TimePoint monotonicNow();

/** @return Minutes of the wall clock since 1970. */
std::uint64_t wallClockMinutes();

/** @return Seconds of the wall clock since 1970. */
std::uint64_t wallClockSeconds();

/** @return Random number from the system's source, never zero. */
std::uint64_t randomNumber();

} // namespace hawthorncroft
