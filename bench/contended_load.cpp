#include "contended_load.h"

#include <cmath>
#include <random>

namespace hawthorncroft {

namespace {

    constexpr double serviceSpread = 0.5; ///< Standard deviation of the logarithm of service times.

    double factorAt(const ContendedLoad& load, std::size_t kind, Duration sinceStart)
    {
        double factor = 1;
        for (const LoadBurst& burst : load.bursts) {
            if (burst.kind == kind && sinceStart >= burst.from && sinceStart < burst.until)
                factor = burst.factor;
        }
        return factor;
    }

}

KindOutcome ContendedOutcome::total() const
{
    KindOutcome sum;
    for (const KindOutcome& kind : kinds) {
        sum.offered += kind.offered;
        sum.answered += kind.answered;
        sum.inTime += kind.inTime;
        sum.rescued += kind.rescued;
    }
    return sum;
}

double ContendedOutcome::worstAnsweredShare() const
{
    double worst = 1;
    for (const KindOutcome& kind : kinds)
        worst = std::min(worst, kind.answeredShare());
    return worst;
}

double ContendedOutcome::worstInTimeShare() const
{
    double worst = 1;
    for (const KindOutcome& kind : kinds)
        worst = std::min(worst, kind.inTimeShare());
    return worst;
}

std::vector<ContendedRequest> contendedArrivals(const ContendedLoad& load, std::uint64_t seed)
{
    constexpr Duration step = milliseconds(10); // Rates are constant within a step.
    const TimePoint start { seconds(100).us };
    std::mt19937_64 random(seed);
    std::vector<ContendedRequest> arrivals;
    for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
        const LoadKind& offered = load.kinds[kind];
        double mean = static_cast<double>(offered.service.us);
        std::lognormal_distribution<double> work(std::log(mean) - serviceSpread * serviceSpread / 2, serviceSpread);
        for (Duration at; at < load.length; at = at + step) {
            double share = offered.share * factorAt(load, kind, at) / load.availableShare;
            std::poisson_distribution<int> count(share * contendedSlots * static_cast<double>(step.us) / mean);
            for (int left = count(random); left > 0; --left) {
                Duration within { static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(step.us)) };
                arrivals.push_back({ start + at + within, kind, { static_cast<std::int64_t>(work(random)) } });
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
        [](const ContendedRequest& a, const ContendedRequest& b) { return a.sentAt < b.sentAt; });
    return arrivals;
}

void addBounds(ContendedOutcome& outcome, const ContendedLoad& load, const std::vector<ContendedRequest>& arrivals)
{
    std::vector<OfferedRequest> withObjective;
    std::vector<OfferedRequest> withTimeout;
    for (const ContendedRequest& arrival : arrivals) {
        const LoadKind& kind = load.kinds[arrival.kind];
        OfferedRequest request { .arrivesAt = arrival.sentAt + contendedRoundTrip / 2, .work = arrival.work };
        request.objective = kind.objective - contendedRoundTrip;
        withObjective.push_back(request);
        request.objective = kind.timeout - contendedRoundTrip;
        withTimeout.push_back(request);
    }
    outcome.inTimeBound += hindsightBound(withObjective, contendedSlots);
    outcome.answeredBound += hindsightBound(withTimeout, contendedSlots);
}

std::vector<ContendedLoad> contendedLoads()
{
    const LoadKind submissions { 0, 0.15, milliseconds(61), milliseconds(400), seconds(3) };
    const LoadKind reads { 1, 0.35, milliseconds(47), milliseconds(300), seconds(3) };
    const std::vector<LoadKind> kinds { submissions, reads };
    const std::vector<LoadBurst> inTurn { { 0, seconds(2), seconds(4), 3.5 }, { 1, seconds(6), seconds(8), 3 } };
    const std::vector<LoadBurst> together { { 0, seconds(2), seconds(4), 3.5 }, { 1, seconds(2), seconds(4), 3 } };
    auto constant = [&](double share) {
        std::vector<LoadKind> scaled = kinds;
        for (LoadKind& kind : scaled)
            kind.share *= share / (submissions.share + reads.share);
        return scaled;
    };
    auto burst = [](double factor) {
        return std::vector<LoadBurst> { { 0, seconds(2), seconds(5), factor }, { 1, seconds(2), seconds(5), factor } };
    };
    return {
        { .name = "bursts in turn, 2/3 of the targets", .kinds = kinds, .bursts = inTurn, .availableShare = 2.0 / 3 },
        { .name = "bursts together, 2/3 of the targets",
            .kinds = kinds,
            .bursts = together,
            .availableShare = 2.0 / 3 },
        { .name = "3 s at 1.6 times the capacity", .kinds = kinds, .bursts = burst(3.2) },
        { .name = "3 s at 3 times the capacity", .kinds = kinds, .bursts = burst(6) },
        { .name = "0.9 of the capacity", .kinds = constant(0.9) },
        { .name = "1.2 times the capacity, 15 s", .kinds = constant(1.2) },
        { .name = "2 times the capacity, 15 s", .kinds = constant(2) },
    };
}

} // namespace hawthorncroft
