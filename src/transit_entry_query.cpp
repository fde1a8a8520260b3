#include "transit_entry_base.h"

#include "table/transit_limits.h"
#include "table/transit_names.h"

#include <algorithm>
#include <limits>

namespace hawthorncroft {

namespace {

    /** @return Packets per second that a processor share can forward. */
    double packetRateOf(const EntryReport& report)
    {
        constexpr double microsecondsPerMilli = 1000;
        return report.processorMillis * microsecondsPerMilli / static_cast<double>(entryPacketTime.us);
    }

    /** @return Load as a share of a capacity; very high for a capacity that is not known. */
    double shareOf(double load, double capacity)
    {
        return capacity > 0 ? load / capacity : std::numeric_limits<double>::max();
    }

}

const EntryRotation::Limits EntryRotation::leaveLimits { entryLeaveLimit, entryLeaveGain };
const EntryRotation::Limits EntryRotation::returnLimits { entryReturnLimit, entryReturnGain };

std::string_view nameOf(EntryReason reason) { return lookUpName(entryReasonNames, reason); }

EntryLoad EntryLoadMeter::load(TimePoint now) const
{
    std::int64_t current = now.us / entryLoadInterval.us;
    auto complete = static_cast<std::int64_t>(m_buckets.size()) - 1;
    Bucket sum;
    for (const Bucket& bucket : m_buckets) {
        if (bucket.index >= current || bucket.index < current - complete)
            continue;
        sum.receivedBytes += bucket.receivedBytes;
        sum.receivedPackets += bucket.receivedPackets;
        sum.sentBytes += bucket.sentBytes;
        sum.sentPackets += bucket.sentPackets;
    }
    return { static_cast<double>(std::max(sum.receivedBytes, sum.sentBytes)),
        static_cast<double>(std::max(sum.receivedPackets, sum.sentPackets)) };
}

double EntryRotation::capacityOf(const EntryReport& report)
{
    return std::min(static_cast<double>(report.linkBytesPerSecond), packetRateOf(report) * entryPacketBytes);
}

EntryReport EntryRotation::report(TimePoint now) const
{
    EntryLoad load = m_meter.load(now);
    return { .linkBytesPerSecond = m_options.linkBytesPerSecond,
        .processorMillis = m_options.processorMillis,
        .carriedBytesPerSecond = static_cast<std::int64_t>(load.bytesPerSecond),
        .carriedPacketsPerSecond = static_cast<std::int64_t>(load.packetsPerSecond),
        .isStopping = m_stoppedAt.has_value() };
}

std::int64_t EntryRotation::shareBytes() const
{
    return m_load && m_receivers ? static_cast<std::int64_t>(m_load->bytesPerSecond / static_cast<double>(m_receivers))
                                 : 0;
}

std::int64_t EntryRotation::capacityBytes() const
{
    return static_cast<std::int64_t>(capacityOf(
        { .linkBytesPerSecond = m_options.linkBytesPerSecond, .processorMillis = m_options.processorMillis }));
}

bool EntryRotation::mayStop(TimePoint now) const
{
    bool isGraceEnding = now + drainTime + shutdownMargin >= *m_stoppedAt + m_options.grace;
    if (isGraceEnding || m_known == 1 || !m_isReady)
        return true;
    // Of several that stop, the last in the order leaves first, so that those before it still count. While fewer than
    // half of a failure domain's balancers are in rotation, the routers use all of them, also those that have ended.
    std::size_t rest = 0;
    std::map<Endpoint, bool> leavesLater;
    bool isBeforeSelf = true;
    for (const Candidate& candidate : m_order) {
        isBeforeSelf &= !isSelf(candidate);
        leavesLater[candidate.endpoint] = !candidate.report.isStopping || isBeforeSelf;
    }
    for (const auto& [endpoint, since] : m_readySince) {
        auto found = leavesLater.find(endpoint);
        bool stays = found == leavesLater.end() || found->second;
        rest += stays && now >= since + entrySettleTime;
    }
    return rest >= half();
}

std::size_t EntryRotation::wantedCount(
    const std::vector<const Candidate*>& order, const EntryLoad& load, const Limits& limits) const
{
    // The smallest link and processor of each prefix: all of its balancers get the same load.
    std::vector<double> utilisations;
    double link = std::numeric_limits<double>::max();
    double packetRate = std::numeric_limits<double>::max();
    for (const Candidate* candidate : order) {
        link = std::min(link, static_cast<double>(candidate->report.linkBytesPerSecond));
        packetRate = std::min(packetRate, packetRateOf(candidate->report));
        auto count = static_cast<double>(utilisations.size() + 1);
        utilisations.push_back(
            std::max(shareOf(load.bytesPerSecond / count, link), shareOf(load.packetsPerSecond / count, packetRate)));
    }
    std::size_t best = order.size();
    for (std::size_t count = order.size(); count >= std::max<std::size_t>(half(), 1); --count) {
        if (utilisations[count - 1] <= limits.highest)
            return count;
        if (utilisations[count - 1] < utilisations[best - 1] * limits.gain)
            best = count;
    }
    return best;
}

std::vector<const EntryRotation::Candidate*> EntryRotation::candidates(bool isReadyOnly) const
{
    std::vector<const Candidate*> result;
    for (const Candidate& candidate : m_order) {
        if (!candidate.report.isStopping && (candidate.isReady || !isReadyOnly))
            result.push_back(&candidate);
    }
    return result;
}

std::size_t EntryRotation::readyPeers() const
{
    return static_cast<std::size_t>(std::count_if(m_order.begin(), m_order.end(), [&](const Candidate& candidate) {
        return candidate.isReady && !candidate.report.isStopping && !isSelf(candidate);
    }));
}

std::size_t EntryRotation::waitingBefore() const
{
    std::size_t count = 0;
    for (const Candidate& candidate : m_order) {
        if (isSelf(candidate))
            break;
        count += !candidate.isReady && !candidate.report.isStopping;
    }
    return count;
}

bool EntryRotation::isNeeded() const { return readyPeers() + waitingBefore() < half(); }

bool EntryRotation::areAllEven(const EntryBalancers& others, TimePoint now) const
{
    double lowest = capacityOf(report(now));
    double highest = lowest;
    for (const EntryPeer& peer : others.peers) {
        if (!peer.report)
            return false;
        lowest = std::min(lowest, capacityOf(*peer.report));
        highest = std::max(highest, capacityOf(*peer.report));
    }
    return others.isComplete && lowest * entrySlowFactor >= highest;
}

bool EntryRotation::isSlow() const
{
    auto all = candidates(false);
    std::size_t count = std::min(half(), all.size());
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
        if (isSelf(*all[i]))
            return false; // It is one of the needed ones.
        sum += capacityOf(all[i]->report);
    }
    return capacityOf(report(*m_lastUpdateAt)) * entrySlowFactor < sum / static_cast<double>(count);
}

EntryLoad EntryRotation::peak() const
{
    EntryLoad highest;
    for (const auto& [second, load] : m_peaks) {
        highest.bytesPerSecond = std::max(highest.bytesPerSecond, load.bytesPerSecond);
        highest.packetsPerSecond = std::max(highest.packetsPerSecond, load.packetsPerSecond);
    }
    return highest;
}

Duration EntryRotation::settleTime() const
{
    return m_options.isFlowHashStable ? entrySettleTime : entrySettleTime * 2;
}

Duration EntryRotation::returnWait() const
{
    return m_options.isFlowHashStable ? entryReturnWait : entryReturnWait * 2;
}

EntryChange EntryRotation::changeFor(EntryReason reason) const
{
    bool isReturn = reason != EntryReason::Load && reason != EntryReason::Start;
    EntryLoad load = isReturn ? peak() : m_load.value_or(EntryLoad {});
    auto count = static_cast<double>(readyPeers() + 1);
    EntryReport own = report(*m_lastUpdateAt);
    return {
        .isReady = isReturn,
        .reason = reason,
        .wanted = wantedCount(candidates(false), load, isReturn ? returnLimits : leaveLimits),
        .known = m_known,
        .ready = readyPeers(),
        .utilisation = std::max(shareOf(load.bytesPerSecond / count, static_cast<double>(own.linkBytesPerSecond)),
            shareOf(load.packetsPerSecond / count, packetRateOf(own))),
        .oldestReport = m_oldestReport,
    };
}

} // namespace hawthorncroft
