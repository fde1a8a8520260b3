/**
 * @file admission_base.h
 * Admission control for one target: an adaptive limit on concurrent requests, a short queue in front of it, and a limit
 * on open feeds and uploads. Both limits start low in a cold start and grow only when work succeeds.
 *
 * A request occupies one place from its reservation to its end. The number of places is the concurrency limit plus the
 * length of the queue; a queued request starts only while fewer requests than the limit are running.
 */
#pragma once

#include "config_type.h"
#include "packet_type.h"

namespace hawthorncroft {

/** Capacity of the target, from its configuration and the preset in force. */
struct AdmissionCapacity {
    std::uint32_t slots { 1 }; ///< Requests that the target can run concurrently.
    std::uint32_t connections { 1 }; ///< Feeds and uploads that the target can keep open.
    PresetConfig preset;
};

/** Admission state of one target. */
class Admission {
public:
    /**
     * Sets the capacity. A lower ceiling takes effect at once; a higher one only allows the limits to grow.
     * @param capacity The new capacity.
     */
    void setCapacity(const AdmissionCapacity& capacity);

    /**
     * Begins a cold start: lowers both limits to their initial values and discards the service time averages.
     * @param now Current time. The limit reaches its ceiling no earlier than the preset's coldStartSeconds after it.
     */
    void startCold(TimePoint now);

    /**
     * Tries to reserve a place for a request, or a connection for a feed or upload.
     * @param kind Kind of the flow.
     * @return Reason::None if reserved, otherwise Reason::Overloaded or Reason::Cold.
     */
    Reason reserve(FlowKind kind);

    /** Counts the connection of a flow that another agent process admitted, even if this exceeds the limit. */
    void adoptConnection(FlowKind kind);

    /** Releases a place that was reserved and never queued. */
    void releasePlace() { --m_held; }

    /** Releases the connection of a feed or upload. */
    void releaseConnection(FlowKind kind);

    /** Queues a request that still holds its reserved place. */
    void queueHeld();

    /**
     * Queues a request or commit that holds no reserved place.
     * @param isBounded Whether the limit on places applies; it does not for the commit of an admitted upload.
     * @return Whether it was queued.
     */
    bool queueUnheld(bool isBounded);

    /** Removes one request from the queue without running it. */
    void leaveQueue() { --m_queued; }

    /** Moves one request from the queue to the running requests. */
    void start();

    /**
     * Records that a running request succeeded.
     * @param now Current time.
     * @param serviceTime Time from the start of the request to its end.
     * @return Whether a sharp rise of the service time has begun a new cold start.
     */
    bool finishWithSuccess(TimePoint now, Duration serviceTime);

    /**
     * Records that the target failed or shed a running request. Several failures among the last requests mean that the
     * target is cold, regardless of the state that it reports.
     * @param now Current time.
     * @return Whether the failure has begun a new cold start.
     */
    bool finishWithFailure(TimePoint now);

    /** Records that a running request ended for a reason unrelated to the target's capacity. */
    void finishNeutral() { --m_running; }

    /** Records that a feed delivered an event or a chunk was stored, so the target serves its open connections. */
    void recordConnectionSuccess() { m_connectionSucceeded = true; }

    /** Raises the connection limit by one step if there was a success since the last step. */
    void tick(TimePoint now);

    /** @return Whether a queued request may start. */
    bool canStart() const;

    /** @return Limit on concurrently running requests. */
    std::uint32_t limit() const;

    /** @return Upper bound of limit() under the preset in force. */
    std::uint32_t ceiling() const;

    /** @return Limit on open feeds and uploads. */
    std::uint32_t connectionLimit() const;

    /** @return Whether the target is still in its cold start. */
    bool isCold() const;

    /** @return Utilization of the limit that applies to this kind, in 1/1000; above 1000 if requests are queued. */
    std::uint16_t load(FlowKind kind) const;

    /** @return Retry-after for a refused open of this kind in milliseconds, from the service time and the queue. */
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
    double m_fastUs {}; ///< Moving average of the service time over about 8 requests, in microseconds.
    double m_slowUs {}; ///< Moving average of the service time over about 128 requests, in microseconds.
    std::uint32_t m_samples {}; ///< Service times recorded since the last cold start.
    std::uint32_t m_held {}; ///< Places held by reservations whose request is not queued yet.
    std::uint32_t m_queued {};
    std::uint32_t m_running {};
    std::uint32_t m_connections {}; ///< Open feeds and uploads.
    std::uint32_t m_uploads {};
    bool m_isCold { true };
    bool m_hasInitialLimits { true }; ///< Neither limit has changed since the last cold start began.
    bool m_connectionSucceeded {};
    std::uint8_t m_failures {}; ///< One bit for each of the last eight requests; set if the request failed.
    TimePoint m_coldSince; ///< Start of the cold start and of its time ramp.
    TimePoint m_lastDrop; ///< Last reduction of the limit, by a failure or a rise of the service time.
    TimePoint m_lastStep; ///< Last check whether to raise the connection limit.
};

} // namespace hawthorncroft
