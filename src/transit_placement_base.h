/**
 * @file transit_placement_base.h
 * Choice of a target for a new flow at a balancer. It answers three loads: a steady one, where all targets are to be
 * equally busy; a herd, where many balancers see the same idle target; and targets that are slow, cold, silent or
 * return what they get.
 */
#pragma once

#include "table/transit_limits.h"
#include "transit_view_base.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthorncroft {

/** Loads of targets as one balancer believes them, and the choice among targets. Pure. */
class TransitPlacement {
public:
    /** @param failureDomain Failure domain of the balancer; preferred at equal load. */
    explicit TransitPlacement(std::string failureDomain);

    /**
     * Chooses a target.
     * @param view The view.
     * @param service Service that the flow goes to.
     * @param flow The flow; breaks ties.
     * @param tried Addresses of targets that did not take the flow.
     * @param now Current time.
     * @return The target, or null when none is left.
     */
    const ViewedTarget* choose(const TransitView& view, const std::string& service, const FlowTuple& flow,
        const std::vector<std::uint32_t>& tried, TimePoint now) const;

    /** Notes that an opening packet was sent to a target. */
    void noteSent(std::uint32_t address);

    /** Notes a load report; it contains everything that the target's agent got before. */
    void noteLoad(std::uint32_t address, const LoadReport& load);

    /** Notes that an agent left an opening packet unanswered; it is avoided for a time. */
    void suspect(std::uint32_t address, TimePoint now);

    /**
     * Notes that a target returned an opening packet. Such a target looks idle, since it takes nothing: it is avoided
     * for a time whatever its load.
     */
    void noteReturned(std::uint32_t address, TimePoint now);

    /** Notes that a target took an opening packet. */
    void noteTaken(std::uint32_t address);

    /** @return Load of a target in shares of its slots, as this balancer sees it. */
    double loadOf(const ViewedTarget& target, TimePoint now) const;

    /** @return Whether a target is avoided as long as there is another one. */
    bool isSuspected(std::uint32_t address, TimePoint now) const;

private:
    struct Estimate {
        LoadReport load;
        std::uint32_t sentSince {}; ///< Opening packets that the last report does not contain.
        TimePoint suspectedUntil {};
        TimePoint returnsUntil {}; ///< The target is taken to return opening packets until then.
        std::uint32_t returned {}; ///< Opening packets returned in a row.
    };

    /** What was compared so far for one flow. */
    struct Choice {
        const ViewedTarget* best {};
        double load {}; ///< Of the best one.
        std::size_t near {}; ///< Compared targets of the own failure domain.
        std::size_t far {}; ///< Compared targets of others.

        bool isComplete() const { return near >= sameDomainCandidates && far >= otherDomainCandidates; }
    };

    void consider(Choice& choice, const ViewedTarget& target, TimePoint now) const;
    bool isEligible(const TransitView& view, const ViewedTarget& target, const std::vector<std::uint32_t>& tried) const;

    std::string m_failureDomain;
    std::unordered_map<std::uint32_t, Estimate> m_estimates; ///< By address; as many as there are targets.
};

} // namespace hawthorncroft
