#include "admission_base.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;

namespace {

/** The time ramp is off unless a test sets it, so that only success limits the growth. */
Admission admissionOf(
    std::uint32_t slots, std::uint32_t connections, PresetConfig preset = {}, std::uint32_t coldStartSeconds = 0)
{
    Admission admission;
    preset.coldStartSeconds = coldStartSeconds;
    admission.setCapacity({ .slots = slots, .connections = connections, .preset = preset });
    return admission;
}

/**
 * Runs as many concurrent requests as the limit allows and ends them with success.
 * @return Whether a rise of the service time has begun a new cold start.
 */
bool serve(Admission& admission, TimePoint& now, Duration serviceTime)
{
    std::uint32_t running = admission.limit();
    for (std::uint32_t i = 0; i < running; ++i) {
        REQUIRE(admission.reserve(FlowKind::Request) == Reason::None);
        admission.queueHeld();
        REQUIRE(admission.canStart());
        admission.start();
    }
    now = now + serviceTime;
    bool hasJumped = false;
    for (std::uint32_t i = 0; i < running; ++i)
        hasJumped |= admission.finishWithSuccess(now, serviceTime);
    return hasJumped;
}

void warmUp(Admission& admission, TimePoint& now)
{
    for (int i = 0; i < 100 && admission.limit() < admission.ceiling(); ++i)
        serve(admission, now, milliseconds(10));
    REQUIRE(admission.limit() == admission.ceiling());
}

}

TEST_CASE("The concurrency limit of a target with ten slots", "[admission]")
{
    Admission admission = admissionOf(10, 100, { .slotPercent = 80, .coldStartPercent = 20 });
    TimePoint now { 1000000 };

    SECTION("starts low, so that a cold target does not get full load")
    {
        CHECK(admission.isCold());
        CHECK(admission.limit() == 2);
        for (int i = 0; i < 4; ++i)
            CHECK(admission.reserve(FlowKind::Request) == Reason::None);
        CHECK(admission.reserve(FlowKind::Request) == Reason::Cold);

        SECTION("and bounds the running requests, however many are queued")
        {
            for (int i = 0; i < 4; ++i)
                admission.queueHeld();
            admission.start();
            admission.start();
            CHECK_FALSE(admission.canStart());
        }
        SECTION("and does not rise by time alone")
        {
            for (int i = 0; i < 100; ++i)
                admission.tick(now = now + seconds(1));
            CHECK(admission.limit() == 2);
        }
    }
    SECTION("grows with success up to the preset's share of the slots and not beyond")
    {
        warmUp(admission, now);
        CHECK(admission.limit() == 8);
        CHECK_FALSE(admission.isCold());
        for (int i = 0; i < 200; ++i)
            serve(admission, now, milliseconds(10));
        CHECK(admission.limit() == 8);

        SECTION("and is reduced at once by a preset with a lower share")
        {
            admission.setCapacity({ .slots = 10, .connections = 100, .preset = { .slotPercent = 30 } });
            CHECK(admission.limit() == 3);
        }
        SECTION("and is reduced once for a burst of failures, so that it does not collapse")
        {
            for (int i = 0; i < 8; ++i) {
                admission.queueUnheld(true);
                admission.start();
            }
            for (int i = 0; i < 8; ++i)
                admission.finishWithFailure(now = now + milliseconds(1));
            CHECK(admission.limit() == 5);
        }
        SECTION("and starts cold again when the service time rises sharply, as in a target that lost its caches")
        {
            now = now + seconds(5);
            bool hasJumped = false;
            int served = 0;
            for (; served < 20 && !hasJumped; ++served)
                hasJumped = serve(admission, now, milliseconds(100));
            CHECK(hasJumped);
            CHECK(admission.limit() == 2);
            CHECK(admission.isCold());
        }
        SECTION("and stays warm when the service time varies by 50 %")
        {
            for (int i = 0; i < 500; ++i)
                CHECK_FALSE(serve(admission, now, milliseconds(i % 2 ? 5 : 15)));
        }
    }
    SECTION("gives a longer retry-after when more requests are ahead")
    {
        warmUp(admission, now);
        std::uint32_t idle = admission.retryAfterMs(FlowKind::Request);
        for (int i = 0; i < 16; ++i)
            admission.reserve(FlowKind::Request);
        CHECK(admission.reserve(FlowKind::Request) == Reason::Overloaded);
        CHECK(admission.retryAfterMs(FlowKind::Request) > idle);
        CHECK(admission.load(FlowKind::Request) == 2000);
    }
    SECTION("is zero when the preset offers no slots, and the target then counts as full")
    {
        admission.setCapacity({ .slots = 10, .connections = 0, .preset = { .slotPercent = 0 } });
        CHECK(admission.reserve(FlowKind::Request) != Reason::None);
        CHECK(admission.load(FlowKind::Request) == 1000);
    }
}

TEST_CASE("The connection limit of a target", "[admission]")
{
    Admission admission = admissionOf(4, 100, { .connectionPercent = 50, .uploadPercent = 40, .coldStartPercent = 20 });
    TimePoint now { 1000000 };

    SECTION("starts low and takes one step a second while connections succeed")
    {
        CHECK(admission.connectionLimit() == 10);
        for (int i = 0; i < 10; ++i)
            REQUIRE(admission.reserve(FlowKind::Feed) == Reason::None);
        CHECK(admission.reserve(FlowKind::Feed) == Reason::Cold);
        admission.recordConnectionSuccess();
        admission.tick(now = now + seconds(1));
        CHECK(admission.connectionLimit() == 12);

        SECTION("and is not reset by a configuration change, which occurs every second in a large fleet")
        {
            admission.setCapacity({ .slots = 4,
                .connections = 100,
                .preset = { .connectionPercent = 50, .uploadPercent = 40, .coldStartPercent = 20 } });
            CHECK(admission.connectionLimit() == 12);
        }
        SECTION("but does not grow without success, so that a hanging target is not filled")
        {
            for (int i = 0; i < 60; ++i)
                admission.tick(now = now + seconds(1));
            CHECK(admission.connectionLimit() == 12);
        }
        SECTION("and grows no further than the preset's share")
        {
            for (int i = 0; i < 60; ++i) {
                admission.recordConnectionSuccess();
                admission.tick(now = now + seconds(1));
            }
            CHECK(admission.connectionLimit() == 50);

            SECTION("of which uploads get only their own share, so that they do not displace feeds")
            {
                for (int i = 0; i < 20; ++i)
                    REQUIRE(admission.reserve(FlowKind::Upload) == Reason::None);
                CHECK(admission.reserve(FlowKind::Upload) == Reason::Overloaded);
                CHECK(admission.reserve(FlowKind::Feed) == Reason::None);
                admission.releaseConnection(FlowKind::Upload);
                CHECK(admission.reserve(FlowKind::Upload) == Reason::None);
            }
        }
    }
}

TEST_CASE("The time ramp of a cold start", "[admission]")
{
    Admission admission = admissionOf(10, 100, { .coldStartPercent = 20 }, 10);
    TimePoint now { 1000000 };
    admission.startCold(now);

    SECTION("bounds the growth by success, so that a target that is still warming up is not overloaded")
    {
        for (int i = 0; i < 100; ++i)
            serve(admission, now, milliseconds(10));
        CHECK(admission.limit() == 2);
        for (int i = 0; i < 400; ++i)
            serve(admission, now, milliseconds(10));
        CHECK(admission.limit() == 6);
        for (int i = 0; i < 600; ++i)
            serve(admission, now, milliseconds(10));
        CHECK(admission.limit() == 10);
        CHECK_FALSE(admission.isCold());

        SECTION("and restarts when several of the last requests failed, although the target reports that it is warm")
        {
            for (int i = 0; i < 2; ++i) {
                REQUIRE(admission.reserve(FlowKind::Request) == Reason::None);
                admission.queueHeld();
                admission.start();
            }
            CHECK_FALSE(admission.finishWithFailure(now));
            now = now + milliseconds(100);
            CHECK_FALSE(admission.isCold());
            CHECK(admission.finishWithFailure(now));
            CHECK(admission.isCold());
            CHECK(admission.limit() == 2);
        }
    }
}
