/**
 * @file transit_core_base.h
 * Common base of the cores of balancers and agents: membership in the fleet, and the interface that the shell calls.
 */
#pragma once

#include "transit_egress_type.h"
#include "transit_fleet_base.h"
#include "transit_gauge_type.h"
#include "transit_page_type.h"

namespace hawthorncroft {

/** Core of a process that carries transparent flows. Pure: takes events with a time and returns effects. */
class TransitCore {
public:
    explicit TransitCore(FleetOptions options)
        : m_fleet(std::move(options))
    {
    }
    TransitCore(const TransitCore&) = delete;
    TransitCore& operator=(const TransitCore&) = delete;
    virtual ~TransitCore() = default;

    /** Runs the timers; called about every `tickInterval`. */
    virtual void onTick(TimePoint now, TransitEffects& effects) = 0;

    /** Handles a packet from a caller (balancer) or from the target (agent). */
    virtual void onPacket(TransitPacket packet, TimePoint now, TransitEffects& effects) = 0;

    /** Handles a message that arrived from another process: for this one, or to be relayed. */
    void receive(Endpoint from, Message message, TimePoint now, TransitEffects& effects);

    /** Message as it is sent. */
    struct Outgoing {
        Endpoint to; ///< Its receiver, or a relay.
        Message message;
        std::optional<TransitCounter> counter; ///< To be increased.
    };

    /** Chooses the way of a message. */
    Outgoing outgoing(SendMessage&& effect, TimePoint now);

    /** Handles a message whose sender is known, as TransitCore::receive does for messages to this process. */
    virtual void onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects) = 0;

    /** Handles the result of a probe: whether the process of the target is running. A process that hangs is running. */
    virtual void onTargetProbe(bool isRunning, TimePoint now, TransitEffects& effects) = 0;

    /** Handles the state of the queue at the process's link. Called before each tick if the link has a rate. */
    virtual void onEgressState(const EgressState&) { }

    /** Starts a graceful shutdown. */
    virtual void onStop(TimePoint now, TransitEffects& effects) = 0;

    /** @return Whether the process is ready to serve. */
    virtual bool isReady() const = 0;

    /** @return Whether the graceful shutdown is complete. */
    virtual bool isFinished(TimePoint now) const = 0;

    /** @return Values for the metrics page beside those that all processes have. */
    virtual std::vector<TransitGauge> gauges(TimePoint /*now*/) const { return {}; }

    /**
     * Answers a request for a page other than those that all processes have.
     * @param path Path without the query string.
     * @param query Query string without the question mark, of any content and length.
     */
    virtual HttpReply page(std::string_view /*path*/, std::string_view /*query*/, TimePoint /*now*/) const
    {
        return { 404, std::string(noSuchPage) };
    }

    /** Handles one page of a full read of the store; see TransitFleet::onStorePage. */
    void onStorePage(std::vector<StoreChange> changes, StorePosition asOf, const std::string& nextAfter, TimePoint now,
        TransitEffects& effects)
    {
        if (m_fleet.onStorePage(std::move(changes), asOf, nextAfter, now, effects))
            onViewChanged(now, effects);
    }

    /** Handles the response to a watch of the store; see TransitFleet::onStoreChanges. */
    void onStoreChanges(
        const std::vector<StoreChange>& changes, StorePosition asOf, TimePoint now, TransitEffects& effects)
    {
        if (m_fleet.onStoreChanges(changes, asOf, now, effects))
            onViewChanged(now, effects);
    }

    /** Handles a failed store call; see TransitFleet::onStoreFailure. */
    void onStoreFailure(StoreFailure failure, StoreEra era, TimePoint now, TransitEffects& effects)
    {
        m_fleet.onStoreFailure(failure, era, now, effects);
    }

    const TransitFleet& fleet() const { return m_fleet; }

protected:
    /** Called after each change of the view. */
    virtual void onViewChanged(TimePoint now, TransitEffects& effects) = 0;

    TransitFleet m_fleet;
};

} // namespace hawthorncroft
