#include "clock_func.h"

#include <chrono>
#include <ctime>
#include <stdexcept>
#include <sys/random.h>

namespace hawthorncroft {

namespace {

    template <typename Unit> std::uint64_t wallClock()
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Unit>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

}

TimePoint monotonicNow()
{
    // Unlike CLOCK_MONOTONIC, this clock advances while the VM is suspended, so a suspension is detected as a pause.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return { static_cast<std::int64_t>(time.tv_sec) * 1000000 + time.tv_nsec / 1000 };
}

std::uint64_t wallClockMinutes() { return wallClock<std::chrono::minutes>(); }

std::uint64_t wallClockSeconds() { return wallClock<std::chrono::seconds>(); }

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    while (!number) {
        if (getrandom(&number, sizeof(number), 0) != sizeof(number))
            throw std::runtime_error("getrandom() returned no random number");
    }
    return number;
}

} // namespace hawthorncroft
