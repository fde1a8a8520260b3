#include "declined_openings.h"

#include "table/transit_limits.h"
#include "transit_placement_base.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace hawthorncroft {

namespace {

    constexpr std::uint32_t targetCount = 37;
    constexpr std::uint32_t balancerCount = 17;
    constexpr std::uint32_t slots = 5;
    constexpr Duration service = milliseconds(47);
    constexpr Duration timeout = seconds(3);
    constexpr Duration messageDelay = milliseconds(1);
    constexpr Duration length = seconds(10);
    constexpr std::uint32_t firstAddress = 0x0a000100;
    const char* const domains[] = { "a", "b", "c" };

    struct Fleet {
        const DeclinedLoad& load;
        AfterDecline way;
        std::mt19937_64 random { 7 };
        TransitView view;
        std::vector<TransitPlacement> placements;
        std::vector<std::uint32_t> busy;
        using Event = std::pair<TimePoint, std::function<void()>>;
        struct Later {
            bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
        };
        std::priority_queue<Event, std::vector<Event>, Later> events;
        TimePoint now { seconds(100).us };
        std::uint32_t offered {};
        std::uint32_t accepted {};
        std::uint32_t refusedBesideRoom {};
        std::uint32_t asked {};

        Fleet(const DeclinedLoad& offeredLoad, AfterDecline afterDecline)
            : load(offeredLoad)
            , way(afterDecline)
        {
            std::vector<StoreChange> changes;
            for (std::uint32_t i = 0; i < targetCount; ++i) {
                TargetRecord record;
                record.id = "t" + std::to_string(i);
                record.service = "web";
                record.address = { firstAddress + i, 8000 };
                record.failureDomain = domains[i % 3];
                record.slots = slots;
                record.startedAt = 1;
                changes.emplace_back(TargetChange { Revision(1), record });
                busy.push_back(i < load.emptyTargets * targetCount ? 0 : capacityOf(i));
            }
            view.applySnapshot(changes, StorePosition(1), now - seconds(60), now);
            for (std::uint32_t i = 0; i < balancerCount; ++i)
                placements.emplace_back(domains[i % 3]);
        }

        void at(TimePoint time, std::function<void()> action) { events.emplace(time, std::move(action)); }

        Duration serviceOf(std::uint32_t target) const
        {
            // From the other end than the empty ones.
            return targetCount - target <= load.slowTargets * targetCount ? service * 2 : service;
        }

        std::uint32_t capacityOf(std::uint32_t target) const
        {
            return static_cast<std::uint32_t>(slots * timeout.us / serviceOf(target).us);
        }

        Duration exponential(double mean)
        {
            return { static_cast<std::int64_t>(std::exponential_distribution<double>(1 / mean)(random)) };
        }

        void serve(std::uint32_t target)
        {
            busy[target] -= busy[target] > 0;
            at(now + exponential(static_cast<double>(serviceOf(target).us) / slots), [this, target] { serve(target); });
        }

        LoadReport report(std::uint32_t target) const { return { busy[target], slots, 0 }; }

        void reportAll()
        {
            for (TransitPlacement& placement : placements) {
                for (std::uint32_t target = 0; target < targetCount; ++target)
                    placement.recordLoad(firstAddress + target, report(target), now);
            }
            at(now + loadReportInterval, [this] { reportAll(); });
        }

        void arrive(std::uint32_t number)
        {
            double capacity = 0; // Requests per microsecond.
            for (std::uint32_t target = 0; target < targetCount; ++target)
                capacity += static_cast<double>(slots) / static_cast<double>(serviceOf(target).us);
            at(now + exponential(1 / (load.share * capacity)), [this, number] { arrive(number + 1); });
            ++offered;
            FlowTuple flow { { 0x64000000 + number, 40000 }, { 0x0a630001, 443 } };
            ask(static_cast<std::uint32_t>(random() % balancerCount), flow, {});
        }

        void ask(std::uint32_t balancer, const FlowTuple& flow, std::vector<std::uint32_t> tried)
        {
            TransitPlacement& placement = placements[balancer];
            const TargetEntry* target = nullptr;
            if (tried.empty() || (way == AfterDecline::RandomDraw && tried.size() < 2))
                target = placement.choose(view, "web", flow, tried, now);
            else if (way == AfterDecline::MostSpare && tried.size() < maxOpenAttempts)
                target = placement.chooseSpare(view, "web", flow, tried, now).target;
            if (!target) {
                for (std::uint32_t i = 0; i < targetCount; ++i) {
                    if (busy[i] < capacityOf(i)) {
                        ++refusedBesideRoom;
                        return;
                    }
                }
                return;
            }
            ++asked;
            std::uint32_t address = target->record.address.address;
            placement.recordSent(address);
            tried.push_back(address);
            at(now + messageDelay, [this, balancer, flow, tried] { decide(balancer, flow, tried); });
        }

        void decide(std::uint32_t balancer, const FlowTuple& flow, const std::vector<std::uint32_t>& tried)
        {
            std::uint32_t address = tried.back();
            std::uint32_t target = address - firstAddress;
            bool isAccepted = busy[target] < capacityOf(target);
            busy[target] += isAccepted;
            accepted += isAccepted;
            at(now + messageDelay, [this, balancer, flow, tried, address, isAccepted, load = report(target)] {
                TransitPlacement& placement = placements[balancer];
                placement.recordLoad(address, load, now);
                if (isAccepted) {
                    placement.recordAccepted(address);
                    return;
                }
                placement.recordOverloaded(address, load);
                ask(balancer, flow, tried);
            });
        }
    };

}

DeclinedOutcome runDeclined(const DeclinedLoad& load, AfterDecline way)
{
    Fleet fleet(load, way);
    TimePoint end = fleet.now + length;
    fleet.reportAll();
    for (std::uint32_t target = 0; target < targetCount; ++target)
        fleet.serve(target);
    fleet.arrive(0);
    while (fleet.events.top().first < end) {
        auto event = fleet.events.top();
        fleet.events.pop();
        fleet.now = event.first;
        event.second();
    }
    double offered = fleet.offered;
    return { fleet.accepted / offered, fleet.refusedBesideRoom / offered, fleet.asked / offered };
}

} // namespace hawthorncroft
