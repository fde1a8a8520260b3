/**
 * @file transit_placement_base.h
 * Choice of a target for a new flow at a balancer. It covers three cases: under steady load it keeps all targets
 * equally busy; it prevents herding, where many balancers choose the same idle target at once; and it avoids targets
 * that are slow, cold, unresponsive or return opening packets.
 */
#pragma once

#include "table/transit_limits.h"
#include "transit_placement_type.h"

#include <unordered_map>
#include <vector>

namespace hawthorncroft {

/** One balancer's estimates of the targets' loads, and the choice among targets. Pure: does no I/O. */
class TransitPlacement {
public:
    /** @param failureDomain Failure domain of the balancer; its targets are preferred at equal load. */
    explicit TransitPlacement(std::string failureDomain);

    /**
     * Chooses a target.
     * @param view The view.
     * @param service Service that the flow goes to.
     * @param flow The flow; its hash seeds the random draws of candidates.
     * @param tried Addresses of targets that did not accept the flow.
     * @param now Current time.
     * @param[out] trace Records how the target was chosen; may be null.
     * @return The target, or null when no eligible one is left.
     */
    const TargetEntry* choose(const TransitView& view, const std::string& service, const FlowTuple& flow,
        const std::vector<std::uint32_t>& tried, TimePoint now, PlacementTrace* trace = nullptr) const;

    /** A target with spare capacity. */
    struct SpareTarget {
        const TargetEntry* target {}; ///< Null when none is known.
        TimePoint reportedAt; ///< Time of its last load report.
    };

    /**
     * Chooses the target with the most spare capacity, for a flow that an overloaded agent declined. A target counts if
     * it has sent a load report and is not known to be overloaded. At most `maxCandidates` targets are compared, from a
     * position that depends on the flow.
     */
    SpareTarget chooseSpare(const TransitView& view, const std::string& service, const FlowTuple& flow,
        const std::vector<std::uint32_t>& tried, TimePoint now) const;

    /** Sets the failure domains behind broken paths; their targets count as if all of their slots were in use. */
    void setBrokenDomains(std::vector<std::string> domains) { m_brokenDomains = std::move(domains); }

    /** Counts an opening packet that was sent to a target. */
    void recordSent(std::uint32_t address);

    /** Stores a load report; it includes all packets that the target's agent received before sending it. */
    void recordLoad(std::uint32_t address, const LoadReport& load, TimePoint now = {});

    /** Marks a target as suspected for a while, after its agent did not answer an opening packet. */
    void suspect(std::uint32_t address, TimePoint now);

    /**
     * Records that an agent declined a flow as overloaded. Its target has no spare capacity until it accepts a flow, or
     * its load has dropped to `spareLoadShare` of the load that it had then.
     */
    void recordOverloaded(std::uint32_t address, const LoadReport& load);

    /**
     * Records that a target returned an opening packet. Such a target accepts nothing and therefore reports a low load,
     * so it is avoided for a while regardless of its load, with exponential backoff.
     */
    void recordReturned(std::uint32_t address, TimePoint now);

    /** Resets the backoff and the overload of a target, after it accepted an opening packet. */
    void recordAccepted(std::uint32_t address);

    /**
     * @return Estimated load of a target: the expected time to an answer, relative to the time that the mean target of
     * its service takes for as many requests as its limit, plus penalties for other failure domains, broken paths and
     * cold targets.
     */
    double loadOf(const TransitView& view, const TargetEntry& target, TimePoint now) const;

    /** @return What is known of the targets of one service, in the given order; for explanations. */
    std::vector<TargetAssessment> assess(const TransitView& view, const std::string& service,
        const std::vector<const TargetEntry*>& targets, TimePoint now) const;

    /** @return Requests at a target and expected soon, as a fraction of its limit; above one while requests wait. */
    double utilisationOf(const TargetEntry& target) const;

    /** @return Whether a target is used only if there is no other one. */
    bool isSuspected(std::uint32_t address, TimePoint now) const;

private:
    struct Estimate {
        LoadReport load;
        std::optional<TimePoint> reportedAt; ///< None until the first load report.
        std::uint32_t sentSinceReport {}; ///< Opening packets sent since the last load report.
        std::uint32_t overloadedBusy {}; ///< Load at which the agent declined as overloaded; zero when it has capacity.
        TimePoint suspectedUntil {};
        TimePoint returnBackoffUntil {}; ///< Avoided until then, since it returned opening packets.
        std::uint32_t consecutiveReturns {}; ///< Opening packets returned since one was accepted.
    };

    /** Means over the known targets of a service. */
    struct Speeds {
        double timePerSlotUs {}; ///< Service time divided by the share of the slots that the limit is; zero if unknown.
        double slotsPerLimit { 1 };
    };

    /** Candidates compared so far for one flow. */
    struct Choice {
        const TargetEntry* best {};
        double load {}; ///< Load of the best candidate.
        Speeds speeds; ///< Of the service's targets.
        std::size_t sameDomainCount {}; ///< Compared targets in the balancer's failure domain.
        std::size_t otherDomainCount {}; ///< Compared targets in other failure domains.
        PlacementTrace* trace {};
        std::size_t brokenPathCount {}; ///< Compared targets behind broken paths.

        bool isComplete() const
        {
            return sameDomainCount >= sameDomainCandidates && otherDomainCount >= otherDomainCandidates;
        }
    };

    void consider(Choice& choice, const TargetEntry& target, PlacementBasis basis, TimePoint now) const;
    LoadTerms loadTermsOf(const TargetEntry& target, const Speeds& speeds, TimePoint now) const;
    TargetState stateOf(const TransitView& view, const TargetEntry& target, TimePoint now) const;
    Speeds speedsOf(const std::vector<const TargetEntry*>& targets) const;
    static double relativeTime(const Estimate& estimate, std::uint32_t slots, const Speeds& speeds);
    static bool isCold(const TargetEntry& target, TimePoint now);
    bool isEligible(const TransitView& view, const TargetEntry& target, const std::vector<std::uint32_t>& tried) const;

    bool isBehindBrokenPath(const TargetEntry& target) const;

    std::string m_failureDomain;
    std::vector<std::string> m_brokenDomains; ///< Behind broken paths; usually empty.
    std::unordered_map<std::uint32_t, Estimate> m_estimates; ///< By target address; one entry per target.
};

} // namespace hawthorncroft
