/**
 * @file transit_core_base.h
 * What the cores of balancers and agents have in common: their part in the fleet, and the interface that a shell
 * drives.
 */
#pragma once

#include "transit_fleet_base.h"

namespace hawthorncroft {

/** Core of a process that carries transparent flows. Pure: events with a time in, effects out. */
class TransitCore {
public:
    explicit TransitCore(FleetOptions options)
        : m_fleet(std::move(options))
    {
    }
    TransitCore(const TransitCore&) = delete;
    TransitCore& operator=(const TransitCore&) = delete;
    virtual ~TransitCore() = default;

    /** Lets time pass; called about every `tickInterval`. */
    virtual void onTick(TimePoint now, TransitEffects& effects) = 0;

    /** Takes a packet of a caller (balancer) or of the target (agent). */
    virtual void onPacket(TransitPacket packet, TimePoint now, TransitEffects& effects) = 0;

    /** Takes a message of another process. */
    virtual void onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects) = 0;

    /** Takes the outcome of a probe: whether the target's process runs. A process that only hangs runs. */
    virtual void onTargetProbe(bool isRunning, TimePoint now, TransitEffects& effects) = 0;

    /** Begins a planned end. */
    virtual void onStop(TimePoint now, TransitEffects& effects) = 0;

    /** @return Whether the process can do its work. */
    virtual bool isReady() const = 0;

    /** @return Whether the planned end is over. */
    virtual bool isFinished(TimePoint now) const = 0;

    /** Takes a page of all keys of the store; see TransitFleet::onStorePage. */
    void onStorePage(std::vector<StoreChange> changes, Revision asOf, const std::string& nextAfter, TimePoint now,
        TransitEffects& effects)
    {
        if (m_fleet.onStorePage(std::move(changes), asOf, nextAfter, now, effects))
            onViewChanged(now, effects);
    }

    /** Takes changes of the store; see TransitFleet::onStoreChanges. */
    void onStoreChanges(const std::vector<StoreChange>& changes, Revision asOf, TimePoint now, TransitEffects& effects)
    {
        if (m_fleet.onStoreChanges(changes, asOf, now, effects))
            onViewChanged(now, effects);
    }

    /** Notes a store call that brought nothing; see TransitFleet::onStoreFailure. */
    void onStoreFailure(StoreFailure failure, TimePoint now, TransitEffects& effects)
    {
        m_fleet.onStoreFailure(failure, now, effects);
    }

    const TransitFleet& fleet() const { return m_fleet; }

protected:
    /** Called after the view changed. */
    virtual void onViewChanged(TimePoint now, TransitEffects& effects) = 0;

    TransitFleet m_fleet;
};

} // namespace hawthorncroft
