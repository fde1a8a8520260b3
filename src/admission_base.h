/**
 * @file admission_base.h
 * Admission of work to one target: an adaptive limit on concurrent requests, a short queue in front of it, and a limit
 * on feeds and uploads. Both limits start low in a cold start and grow only on success.
 *
 * A request occupies one place from its reservation to its end. There are as many places as the limit and the queue
 * together; only as many requests as the limit run at a time.
 */
#pragma once

#include "config_type.h"
#include "packet_type.h"

namespace hawthorncroft {

/** What the target offers, from its configuration and the preset in force. */
struct AdmissionCapacity {
    std::uint32_t slots { 1 }; ///< Requests that the target runs at a time.
    std::uint32_t connections { 1 }; ///< Feeds and uploads that the target holds.
    PresetConfig preset;
};

/** Admission state of one target. */
class Admission {
public:
    /**
     * Changes what is offered. A lower ceiling takes effect at once, a higher one lets the limits grow.
     * @param capacity The new values.
     */
    void setCapacity(const AdmissionCapacity& capacity);

    /**
     * Lowers both limits to the start of a cold start and forgets the target's service time.
     * @param now The time; the limit needs at least the preset's coldStartSeconds from here to its ceiling.
     */
    void startCold(TimePoint now);

    /**
     * Tries to reserve a place for a request, or a connection for a feed or upload.
     * @param kind What the flow carries.
     * @return Reason::None when reserved, otherwise Reason::Overloaded or Reason::Cold.
     */
    Reason reserve(FlowKind kind);

    /** Takes a connection of a flow that another agent process admitted, even beyond the limit. */
    void adoptConnection(FlowKind kind);

    /** Gives a place back that was reserved and never queued. */
    void releasePlace() { --m_held; }

    /** Gives a connection back. */
    void releaseConnection(FlowKind kind);

    /** Moves a held place to the queue. */
    void queueHeld();

    /**
     * Queues work whose place is no longer held, or never was.
     * @param isBounded Whether the bound on places applies; it does not for the commit of an admitted upload.
     * @return Whether there was room.
     */
    bool queueUnheld(bool isBounded);

    /** Takes one request out of the queue without running it. */
    void leaveQueue() { --m_queued; }

    /** Moves one request from the queue to the target. */
    void start();

    /**
     * A request ended with success.
     * @param now The time.
     * @param serviceTime From its start to its end.
     * @return Whether the service time jumped, after which the limits are cold again.
     */
    bool finishWithSuccess(TimePoint now, Duration serviceTime);

    /**
     * A request ended because the target failed or shed it. Several failures among the last requests mean that the
     * target is cold, whatever it reports.
     * @param now The time.
     * @return Whether the limits are cold from now on.
     */
    bool finishWithFailure(TimePoint now);

    /** A request ended in a way that says nothing about the target's capacity. */
    void finishNeutral() { --m_running; }

    /** A feed delivered or a chunk was stored: the connections in use are carried. */
    void recordConnectionSuccess() { m_connectionSucceeded = true; }

    /** Lets the connection limit take a step when the last ones succeeded. */
    void tick(TimePoint now);

    /** @return Whether a queued request may start. */
    bool canStart() const;

    /** @return Requests that may run at a time. */
    std::uint32_t limit() const;

    /** @return Highest value of the limit under the preset in force. */
    std::uint32_t ceiling() const;

    /** @return Feeds and uploads that may be open. */
    std::uint32_t connectionLimit() const;

    /** @return Whether the target is still in its cold start. */
    bool isCold() const;

    /** @return Use in 1/1000 of the limit that an open of this kind meets; above 1000 with a queue. */
    std::uint16_t load(FlowKind kind) const;

    /** @return Milliseconds until a refused open of this kind has a chance, from service time and queue. */
    std::uint32_t retryAfterMs(FlowKind kind) const;

    std::uint32_t held() const { return m_held; }
    std::uint32_t queued() const { return m_queued; }
    std::uint32_t running() const { return m_running; }
    std::uint32_t connections() const { return m_connections; }
    std::uint32_t uploads() const { return m_uploads; }

private:
    std::uint32_t places() const;
    std::uint32_t occupied() const { return m_held + m_queued + m_running; }
    std::uint32_t offeredConnections() const;
    std::uint32_t uploadLimit() const;
    double coldLimit() const;
    double rampLimit(TimePoint now) const;
    void resetLimits();
    Reason fullReason() const { return m_isCold ? Reason::Cold : Reason::Overloaded; }
    void learnServiceTime(Duration serviceTime);
    bool hasJumped(TimePoint now) const;
    void growLimit(TimePoint now, std::uint32_t runningBefore);

    AdmissionCapacity m_capacity;
    double m_limit { 1 };
    double m_connectionLimit { 1 };
    double m_fastUs {}; ///< Moving average of the service time over about 8 requests; microseconds.
    double m_slowUs {}; ///< Moving average over about 128 requests; microseconds.
    std::uint32_t m_samples {}; ///< Service times learned since the last cold start.
    std::uint32_t m_held {}; ///< Reservations that keep a place.
    std::uint32_t m_queued {};
    std::uint32_t m_running {};
    std::uint32_t m_connections {}; ///< Feeds and uploads.
    std::uint32_t m_uploads {};
    bool m_isCold { true };
    bool m_hasInitialLimits { true }; ///< Neither limit has moved since the last cold start.
    bool m_connectionSucceeded {};
    std::uint8_t m_failures {}; ///< One bit for each of the last eight requests; set when it failed.
    TimePoint m_coldSince; ///< Start of the ramp.
    TimePoint m_lastDrop;
    TimePoint m_lastStep;
};

} // namespace hawthorncroft
