/**
 * @file transit_entry_model.h
 * Balancers of one failure domain with simulated routers, for tests of the decision on rotation.
 */
#pragma once

#include "transit_entry_base.h"
#include "transit_sim.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace hawthorncroft::tests {

inline constexpr std::int64_t bytesPerMegabit = 125000;
inline constexpr Duration modelStep = milliseconds(10);

/** Rate of the link in Mbit/s and processor share in thousandths of a core. */
struct Size {
    std::int64_t megabits;
    std::uint32_t processorMillis;
};

inline constexpr Size wide { 200, 500 };
inline constexpr Size medium { 30, 300 };
inline constexpr Size narrow { 10, 90 };

/**
 * Balancers of one failure domain with their routers: only the decisions are real. The routers probe twice a second,
 * take a balancer out after two misses, and use all of them while fewer than half are in rotation.
 */
class EntryModel {
public:
    struct Balancer {
        Size size {};
        std::unique_ptr<EntryRotation> rotation;
        std::map<Endpoint, std::pair<EntryPeer, TimePoint>> heard; ///< Last report of each other, with its time.
        bool isRunning { true };
        bool isPaused {};
        bool isMute {}; ///< Its reports are lost.
        bool hasLeft {}; ///< Left rotation for its shutdown.
        std::size_t misses {};
        bool isNew {}; ///< Has sent no stamp yet.
        bool isUsed {}; ///< By the routers.
        double unsentBytes {};
        double highestUtilisation {}; ///< Of its link, since the last reset.
        std::vector<std::pair<TimePoint, EntryChange>> changes;
        std::optional<TimePoint> leftAt;

        bool isReady() const { return isRunning && rotation->isReady() && !hasLeft; }
    };

    explicit EntryModel(const std::vector<Size>& sizes, bool isFlowHashStable = true)
        : m_isFlowHashStable(isFlowHashStable)
    {
        for (const Size& size : sizes)
            add(size);
    }

    std::size_t add(Size size)
    {
        balancers.emplace_back();
        balancers.back().size = size;
        start(balancers.size() - 1);
        return balancers.size() - 1;
    }

    void start(std::size_t index)
    {
        Balancer& balancer = balancers[index];
        balancer.rotation = std::make_unique<EntryRotation>(EntryOptions { .self = endpointOf(index),
            .linkBytesPerSecond = balancer.size.megabits * bytesPerMegabit,
            .processorMillis = balancer.size.processorMillis,
            .isFlowHashStable = m_isFlowHashStable,
            .grace = grace });
        balancer.heard.clear();
        balancer.isRunning = true;
        balancer.isNew = true;
        balancer.hasLeft = false;
        balancer.leftAt.reset();
    }

    void stop(std::size_t index)
    {
        balancers[index].rotation->stop(now);
        update(index);
    }

    void run(Duration time)
    {
        for (TimePoint end = now + time; now < end;) {
            now = now + modelStep;
            deliverReports();
            if (now.us % milliseconds(500).us == 0)
                probe();
            carry();
            for (std::size_t i = 0; i < balancers.size(); ++i) {
                if (!balancers[i].isRunning || balancers[i].isPaused)
                    continue;
                if (std::exchange(balancers[i].isNew, false)) {
                    for (std::size_t other = 0; other < balancers.size(); ++other)
                        sendReport(other, i); // They answer its first stamp.
                }
                bool isDue = (now.us / modelStep.us + static_cast<std::int64_t>(i)) % 5 == 0;
                if (isDue || !balancers[i].rotation->hasStarted())
                    update(i);
                if ((now.us / modelStep.us + static_cast<std::int64_t>(i) * 3) % 25 == 0)
                    sendReport(i);
            }
            fewestReady = std::min(fewestReady, readyCount());
        }
    }

    std::size_t readyCount() const
    {
        return static_cast<std::size_t>(std::count_if(
            balancers.begin(), balancers.end(), [](const Balancer& balancer) { return balancer.isReady(); }));
    }

    std::size_t changeCount() const
    {
        std::size_t count = 0;
        for (const Balancer& balancer : balancers)
            count += balancer.changes.size();
        return count;
    }

    /** @return Times of all changes to or from rotation, in order. */
    std::vector<TimePoint> changeTimes() const
    {
        std::vector<TimePoint> times;
        for (const Balancer& balancer : balancers) {
            for (const auto& [at, change] : balancer.changes)
                times.push_back(at);
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    Duration shortestGap() const
    {
        auto times = changeTimes();
        Duration shortest = seconds(1000);
        for (std::size_t i = 1; i < times.size(); ++i)
            shortest = std::min(shortest, times[i] - times[i - 1]);
        return shortest;
    }

    double highestUtilisation() const
    {
        double highest = 0;
        for (const Balancer& balancer : balancers)
            highest = std::max(highest, balancer.highestUtilisation);
        return highest;
    }

    /** Forgets what was counted so far. */
    void reset()
    {
        fewestReady = balancers.size();
        for (Balancer& balancer : balancers) {
            balancer.highestUtilisation = 0;
            balancer.changes.clear();
        }
    }

    std::vector<Balancer> balancers;
    std::function<double(TimePoint)> demand = [](TimePoint) { return 0.0; }; ///< Bytes per second of the domain.
    std::size_t reportedTo {}; ///< Each balancer reports to this many that follow it; zero for all.
    double packetBytes { 600 };
    Duration reportDelay { milliseconds(2) };
    Duration grace { seconds(6) };
    TimePoint now { seconds(100).us };
    std::size_t fewestReady { 1000 };

    static Endpoint endpointOf(std::size_t index) { return { static_cast<std::uint32_t>(index + 1), fleetPort }; }

private:
    struct Delivery {
        TimePoint at;
        std::size_t to;
        EntryPeer peer;
    };

    /** @return Whether one balancer reports to the other. */
    bool reaches(std::size_t from, std::size_t to) const
    {
        std::size_t distance = (to + balancers.size() - from) % balancers.size();
        return distance && (!reportedTo || distance <= reportedTo);
    }

    void update(std::size_t index)
    {
        Balancer& balancer = balancers[index];
        EntryBalancers others { .peers = {}, .isComplete = true };
        for (std::size_t i = 0; i < balancers.size(); ++i) {
            if (!reaches(i, index))
                continue;
            auto heard = balancer.heard.find(endpointOf(i));
            if (heard == balancer.heard.end()) {
                others.isComplete = false;
                others.peers.push_back({ .endpoint = endpointOf(i), .report = {}, .age = {}, .isReady = false });
                continue;
            }
            EntryPeer peer = heard->second.first;
            peer.age = now - heard->second.second;
            peer.isReady &= peer.age < memberLifetime;
            others.peers.push_back(peer);
        }
        bool wasReady = balancer.isReady();
        auto change = balancer.rotation->update(others, true, now);
        if (change)
            balancer.changes.emplace_back(now, *change);
        if (balancer.rotation->report(now).isStopping && !balancer.hasLeft && balancer.rotation->mayStop(now)) {
            balancer.hasLeft = true;
            balancer.leftAt = now;
        }
        if (balancer.isReady() != wasReady || (balancer.rotation->report(now).isStopping && !balancer.hasLeft))
            sendReport(index);
    }

    void sendReport(std::size_t from)
    {
        for (std::size_t to = 0; to < balancers.size(); ++to)
            sendReport(from, to);
    }

    void sendReport(std::size_t from, std::size_t to)
    {
        const Balancer& balancer = balancers[from];
        if (!reaches(from, to) || balancer.isMute || !balancer.isRunning || balancer.isPaused)
            return;
        m_deliveries.push_back(
            { now + reportDelay, to, { endpointOf(from), balancer.rotation->report(now), {}, balancer.isReady() } });
    }

    void deliverReports()
    {
        std::vector<Delivery> later;
        for (const Delivery& delivery : m_deliveries) {
            Balancer& receiver = balancers[delivery.to];
            if (delivery.at > now)
                later.push_back(delivery);
            else if (receiver.isRunning && !receiver.isPaused) // The shell discards what waited during a pause.
                receiver.heard[delivery.peer.endpoint] = { delivery.peer, now };
        }
        m_deliveries = std::move(later);
    }

    void probe()
    {
        for (Balancer& balancer : balancers) {
            bool answers = balancer.isReady() && !balancer.isPaused;
            balancer.misses = answers ? 0 : balancer.misses + 1;
            balancer.isUsed = answers || (balancer.isUsed && balancer.misses < 2);
        }
    }

    void carry()
    {
        auto used = static_cast<std::size_t>(std::count_if(
            balancers.begin(), balancers.end(), [](const Balancer& balancer) { return balancer.isUsed; }));
        bool areAllUsed = used * 2 < balancers.size();
        double share = demand(now) / static_cast<double>(areAllUsed ? balancers.size() : used);
        for (Balancer& balancer : balancers) {
            if (!balancer.isRunning || balancer.isPaused || (!areAllUsed && !balancer.isUsed))
                continue;
            auto link = static_cast<double>(balancer.size.megabits * bytesPerMegabit);
            balancer.highestUtilisation = std::max(balancer.highestUtilisation, share / link);
            balancer.unsentBytes += std::min(share, link) * static_cast<double>(modelStep.us) / 1e6;
            for (; balancer.unsentBytes >= packetBytes; balancer.unsentBytes -= packetBytes)
                balancer.rotation->meter().recordSent(static_cast<std::size_t>(packetBytes), now);
        }
    }

    bool m_isFlowHashStable;
    std::vector<Delivery> m_deliveries;
};

/** Entry VMs of one failure domain of a deployment with uneven balancers. */
inline const std::vector<Size> unevenDomain { wide, wide, medium, narrow, narrow, narrow };

} // namespace hawthorncroft::tests
