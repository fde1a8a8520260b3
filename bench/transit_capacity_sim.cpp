#include "transit_capacity_sim.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace hawthorncroft::bench {

namespace {

    constexpr std::uint32_t balancerCount = 3;
    constexpr const char* domains[balancerCount] = { "a", "b", "c" };
    constexpr Duration messageDelay = milliseconds(1);
    constexpr Duration callerDelay = milliseconds(3); ///< One way, in addition to messageDelay.
    constexpr Duration timeout = seconds(3);
    constexpr Duration warmup = seconds(10); ///< Time before the measurement starts.
    constexpr Duration rampTime = seconds(5); ///< Time in which the load rises from a tenth, unless it starts in full.
    constexpr Duration errorTime = milliseconds(1); ///< Time after which a target that fails answers.
    constexpr std::uint32_t firstTarget = 0x0a000100;
    constexpr double lowestRamp = 0.1;
    constexpr double microsecondsPerSecond = 1e6;

    struct Running {
        WaitingRequest request;
        KindModel kind;
        double leftUs {}; ///< Work that is left, at full speed.
        TimePoint startedAt;
        std::uint32_t inProgress {}; ///< Including this one.
        bool isFailing {};
    };

    struct Target {
        TargetModel model;
        std::vector<Running> running;
        TimePoint advancedAt;
        std::uint64_t generation {}; ///< Of the event that ends the next request.
        TransitQueue queue { ReleaseOrder::InTimeFirst };
        ServiceTimes times;
        TargetCapacity capacity { {} };
        bool isReplaced {};
    };

    struct Simulation {
        const CapacityLoad& load;
        CapacityPolicy policy;
        std::uint32_t slots;
        std::mt19937_64 random;
        TransitView view;
        std::vector<TransitPlacement> placements;
        std::vector<Target> targets;
        struct Event {
            TimePoint at;
            std::uint64_t number;
            std::function<void()> action;
            bool operator>(const Event& other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
        };
        std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
        std::uint64_t eventNumber {};
        TimePoint begin { seconds(100).us };
        TimePoint now { begin };
        std::vector<OfferedRequest> offered;
        std::size_t inTime {};
        std::size_t answered {};
        std::size_t failed {};
        std::uint32_t limitChanges {};
        double limitSum {};
        std::size_t limitSamples {};

        Simulation(const CapacityLoad& offeredLoad, CapacityPolicy decided)
            : load(offeredLoad)
            , policy(decided)
            , slots(decided.registeredSlots ? decided.registeredSlots : offeredLoad.slots)
            , random(offeredLoad.seed)
        {
            std::vector<StoreChange> changes;
            for (std::uint32_t i = 0; i < load.targets.size(); ++i) {
                Target target { .model = load.targets[i], .advancedAt = now };
                target.capacity = TargetCapacity(CapacityOptions { .isEnabled = policy.isLearning });
                targets.push_back(std::move(target));
                changes.emplace_back(TargetChange { Revision(1),
                    { .id = "t" + std::to_string(i),
                        .service = "web",
                        .address = { firstTarget + i, 8000 },
                        .failureDomain = domains[i % balancerCount],
                        .slots = slots,
                        .coldLeft = load.targets[i].isCold ? load.targets[i].slowUntil : Duration {},
                        .startedAt = 1 } });
            }
            view.applySnapshot(changes, StorePosition(1), now, now);
            for (const char* domain : domains)
                placements.emplace_back(domain);
        }

        void at(TimePoint time, std::function<void()> action)
        {
            events.push({ time, ++eventNumber, std::move(action) });
        }

        bool isMeasured(TimePoint sentAt) const
        {
            return sentAt >= begin + warmup && sentAt < begin + warmup + load.measuredTime;
        }

        static bool isWithin(Duration age, Duration from, Duration until) { return age >= from && age < until; }

        /** @return Work that a target does in a microsecond for each request in progress. */
        double rateOf(const Target& target) const
        {
            const TargetModel& model = target.model;
            double slow = target.isReplaced ? model.slownessAfterReplacement : model.slowness;
            if (isWithin(now - begin, model.slowFrom, model.slowUntil))
                slow *= model.slowFactor;
            auto count = static_cast<double>(target.running.size());
            // Without a knee, requests beyond the slots wait within the target.
            double knee = model.knee > 0 ? model.knee : load.slots;
            if (count > knee)
                slow *= std::pow(count / knee, model.knee > 0 ? model.exponent : 1);
            return 1 / slow;
        }

        void advance(Target& target)
        {
            double done = static_cast<double>((now - target.advancedAt).us) * rateOf(target);
            for (Running& running : target.running)
                running.leftUs -= done;
            target.advancedAt = now;
        }

        void scheduleEnd(std::uint32_t index)
        {
            Target& target = targets[index];
            std::uint64_t generation = ++target.generation;
            if (target.running.empty())
                return;
            double least = std::min_element(
                target.running.begin(), target.running.end(), [](const Running& a, const Running& b) {
                    return a.leftUs < b.leftUs;
                })->leftUs;
            Duration wait { std::max<std::int64_t>(static_cast<std::int64_t>(std::ceil(least / rateOf(target))), 1) };
            at(now + wait, [this, index, generation] {
                if (targets[index].generation != generation)
                    return;
                advance(targets[index]);
                endRequests(index);
            });
        }

        /** Recalculates the speed of a target whose behaviour changes with time. */
        void changeAt(std::uint32_t index, Duration age)
        {
            // The speed before the change holds until then.
            at(begin + age - microseconds(1), [this, index] { advance(targets[index]); });
            at(begin + age, [this, index, age] {
                Target& target = targets[index];
                if (target.model.replacedAt.us > 0 && age == target.model.replacedAt) {
                    target.isReplaced = true;
                    target.running.clear();
                    target.times = {};
                    target.capacity.reset(now);
                }
                if (target.model.isCold && age == target.model.slowUntil)
                    target.capacity.reset(now);
                target.advancedAt = now;
                scheduleEnd(index);
            });
        }

        void endRequests(std::uint32_t index)
        {
            Target& target = targets[index];
            std::vector<Running> ended;
            std::erase_if(target.running, [&](const Running& running) {
                if (running.leftUs > 0.5)
                    return false;
                ended.push_back(running);
                return true;
            });
            auto inProgress = static_cast<std::uint32_t>(target.running.size() + ended.size());
            for (const Running& running : ended)
                recordEnd(target, running, inProgress--);
            while (hasFreeSlot(target) && startNext(index)) { }
            scheduleEnd(index);
        }

        void recordEnd(Target& target, const Running& running, std::uint32_t inProgress)
        {
            Duration time = now - running.startedAt;
            bool isReset = running.isFailing && target.model.failsByReset;
            if (!isReset)
                target.times.addSample(running.kind.route, time);
            bool isCold = target.model.isCold && now < begin + target.model.slowUntil;
            if (!isCold) {
                auto change = target.capacity.addSample({ .route = running.kind.route,
                                                            .serviceTime = time,
                                                            .inProgress = running.inProgress,
                                                            .inProgressAtEnd = inProgress,
                                                            .isSuccess = !isReset,
                                                            .slots = slots,
                                                            .latencyObjective = running.kind.objective },
                    now);
                limitChanges += change.has_value();
            }
            if (!isMeasured(running.request.startedAt))
                return;
            Duration latency = now + messageDelay + callerDelay - running.request.startedAt;
            failed += running.isFailing;
            answered += !running.isFailing && latency <= timeout;
            inTime += !running.isFailing && latency <= running.kind.objective;
        }

        std::uint32_t limitOf(const Target& target) const { return target.capacity.limit(slots); }

        bool hasFreeSlot(const Target& target) const
        {
            return target.running.size() < limitOf(target) + slotOversubscription;
        }

        const KindModel& kindOf(const FlowTuple& flow) const
        {
            return *std::find_if(load.kinds.begin(), load.kinds.end(),
                [&](const KindModel& kind) { return kind.route == flow.service; });
        }

        /** @return Work of a flow's request; the same for all ways. */
        double workOf(const FlowTuple& flow) const
        {
            constexpr double unit = 1.0 / (std::uint64_t { 1 } << 53);
            std::uint64_t first = mix64(hashOf(flow), load.seed);
            double a = static_cast<double>((first >> 11) + 1) * unit;
            double b = static_cast<double>(mix64(first) >> 11) * unit;
            double normal = std::sqrt(-2 * std::log(a)) * std::cos(2 * std::numbers::pi * b);
            double mean = std::log(static_cast<double>(kindOf(flow).service.us)) - load.spread * load.spread / 2;
            return std::exp(mean + load.spread * normal);
        }

        void start(std::uint32_t index, const WaitingRequest& request)
        {
            Target& target = targets[index];
            const TargetModel& model = target.model;
            Running running { .request = request, .kind = kindOf(request.flow), .startedAt = now };
            running.leftUs = workOf(request.flow);
            running.isFailing = isWithin(now - begin, model.failsFrom, model.failsUntil);
            if (running.isFailing)
                running.leftUs = static_cast<double>(errorTime.us);
            target.running.push_back(running);
            target.running.back().inProgress = static_cast<std::uint32_t>(target.running.size());
        }

        bool startNext(std::uint32_t index)
        {
            Target& target = targets[index];
            while (target.queue.popExpired(now)) { }
            auto request = target.queue.pop(now, target.times.mean() / std::max(limitOf(target), 1U));
            if (request)
                start(index, *request);
            return request.has_value();
        }

        void receive(std::uint32_t index, WaitingRequest request)
        {
            Target& target = targets[index];
            request.serviceTime = target.times.expected(request.flow.service);
            if (target.queue.empty() && hasFreeSlot(target)) {
                advance(target);
                start(index, request);
                scheduleEnd(index);
                return;
            }
            Duration interval = target.times.mean() / std::max(limitOf(target), 1U);
            auto room = static_cast<std::size_t>(timeout.us / std::max<std::int64_t>(interval.us, 1));
            target.queue.push(request, std::clamp(room, minQueueCapacity, maxQueueCapacity), now);
        }

        void report(std::uint32_t balancer, std::uint32_t index)
        {
            const Target& target = targets[index];
            LoadReport report { .busy = static_cast<std::uint32_t>(target.running.size() + target.queue.size()),
                .slots = slots };
            if (policy.isLearning) {
                report.limit = limitOf(target);
                report.serviceTimeUs = target.capacity.serviceTimeUs(now);
            }
            at(now + messageDelay,
                [this, balancer, index, report] { placements[balancer].recordLoad(firstTarget + index, report); });
        }

        void reportAll()
        {
            for (std::uint32_t balancer = 0; balancer < balancerCount; ++balancer) {
                for (std::uint32_t index = 0; index < targets.size(); ++index)
                    report(balancer, index);
            }
            if (now >= begin + warmup) {
                for (const Target& target : targets)
                    limitSum += limitOf(target);
                limitSamples += targets.size();
            }
            at(now + loadReportInterval, [this] { reportAll(); });
        }

        /** @return Requests that the targets can have in progress without slowing each other, in those of speed one. */
        double capacity() const
        {
            double sum = 0;
            for (const Target& target : targets)
                sum += (target.model.knee > 0 ? target.model.knee : load.slots) / target.model.slowness;
            return sum;
        }

        double offeredPerSecond() const
        {
            double work = 0;
            double shares = 0;
            for (const KindModel& kind : load.kinds) {
                work += kind.share * static_cast<double>(kind.service.us);
                shares += kind.share;
            }
            double wave = 1
                + load.swing
                    * std::sin(2 * std::numbers::pi * static_cast<double>((now - begin).us)
                        / static_cast<double>(load.period.us));
            double ramp = load.startsInFull
                ? 1
                : std::clamp(static_cast<double>((now - begin).us) / static_cast<double>(rampTime.us), lowestRamp, 1.0);
            return ramp * load.share * wave * capacity() * microsecondsPerSecond * shares / work;
        }

        void arrive(std::uint32_t number)
        {
            std::exponential_distribution<double> gap(offeredPerSecond());
            if (now < begin + warmup + load.measuredTime)
                at(now + Duration { static_cast<std::int64_t>(gap(random) * microsecondsPerSecond) + 1 },
                    [this, number] { arrive(number + 1); });
            std::vector<double> shares;
            for (const KindModel& kind : load.kinds)
                shares.push_back(kind.share);
            const KindModel& kind
                = load.kinds[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random)];
            FlowTuple flow { { 0x64000000 + number, 40000 }, kind.route };
            auto balancer = static_cast<std::uint32_t>(random() % balancerCount);
            TransitPlacement& placement = placements[balancer];
            const TargetEntry* target = placement.choose(view, "web", flow, {}, now);
            placement.recordSent(target->record.address.address);
            std::uint32_t index = target->record.address.address - firstTarget;
            TimePoint sentAt = now - callerDelay;
            if (isMeasured(sentAt)) {
                offered.push_back({ .arrivesAt = now + messageDelay,
                    .work = { static_cast<std::int64_t>(workOf(flow)) },
                    .objective = kind.objective - messageDelay - messageDelay - callerDelay - callerDelay });
            }
            WaitingRequest request {
                .flow = flow, .startedAt = sentAt, .latencyObjective = kind.objective, .timeout = timeout
            };
            at(now + messageDelay, [this, balancer, index, request] {
                receive(index, request);
                report(balancer, index);
            });
        }

        CapacityOutcome run()
        {
            for (std::uint32_t index = 0; index < targets.size(); ++index) {
                const TargetModel& model = targets[index].model;
                for (Duration age : { model.slowFrom, model.slowUntil, model.replacedAt }) {
                    if (age.us > 0)
                        changeAt(index, age);
                }
            }
            arrive(0);
            reportAll();
            TimePoint end = begin + warmup + load.measuredTime + timeout;
            while (events.top().at < end) {
                Event event = events.top();
                events.pop();
                now = event.at;
                event.action();
            }
            auto count = static_cast<double>(offered.size());
            return { .inTime = static_cast<double>(inTime) / count,
                .answered = static_cast<double>(answered) / count,
                .boundShare = static_cast<double>(inTime)
                    / hindsightBound(offered, static_cast<std::uint32_t>(std::ceil(capacity()))),
                .meanLimit = limitSum / static_cast<double>(limitSamples),
                .failed = static_cast<double>(failed) / count,
                .limitChanges = limitChanges };
        }
    };

    std::vector<TargetModel> targetsOf(std::initializer_list<TargetModel> models, std::size_t times)
    {
        std::vector<TargetModel> all;
        for (std::size_t i = 0; i < times; ++i)
            all.insert(all.end(), models.begin(), models.end());
        return all;
    }

}

CapacityOutcome runCapacityLoad(const CapacityLoad& load, CapacityPolicy policy)
{
    return Simulation(load, policy).run();
}

std::vector<CapacityLoad> capacityLoads()
{
    const KindModel page { .route = { 0x0a630001, 443 }, .service = milliseconds(47) };
    const KindModel quick { .route = { 0x0a630002, 443 }, .service = milliseconds(5), .share = 2 };
    const KindModel slow { .route = { 0x0a630003, 443 }, .service = milliseconds(70), .share = 1 };
    const TargetModel plain;
    const TargetModel knee { .knee = 4 };
    const TargetModel falling { .knee = 4, .exponent = 1.5 };
    const TargetModel slowFor6 { .slowFrom = seconds(14), .slowUntil = seconds(20), .slowFactor = 4 };
    const TargetModel cold { .slowFrom = microseconds(1), .slowUntil = seconds(16), .slowFactor = 4, .isCold = true };
    const TargetModel resets { .failsFrom = seconds(14), .failsUntil = seconds(24) };
    const TargetModel errors { .failsFrom = seconds(14), .failsUntil = seconds(24), .failsByReset = false };
    const TargetModel replaced { .slowness = 4, .replacedAt = seconds(16) };
    return {
        { .name = "alike, 0.9", .targets = targetsOf({ plain }, 8), .kinds = { page }, .share = 0.9 },
        { .name = "alike, 1.2", .targets = targetsOf({ plain }, 8), .kinds = { page }, .share = 1.2 },
        { .name = "alike, 1.2, at once",
            .targets = targetsOf({ plain }, 8),
            .kinds = { page },
            .share = 1.2,
            .startsInFull = true },
        { .name = "speeds 1 to 4, 0.8",
            .targets = targetsOf({ plain, { .slowness = 2 }, { .slowness = 3 }, { .slowness = 4 } }, 3),
            .kinds = { page },
            .share = 0.8 },
        { .name = "speeds 1 to 4, 0.95",
            .targets = targetsOf({ plain, { .slowness = 2 }, { .slowness = 3 }, { .slowness = 4 } }, 3),
            .kinds = { page },
            .share = 0.95 },
        { .name = "quarter at half speed, 0.9",
            .targets = targetsOf({ plain, plain, plain, { .slowness = 2 } }, 3),
            .kinds = { page },
            .share = 0.9 },
        { .name = "knee at half, 0.9", .targets = targetsOf({ knee }, 8), .kinds = { page }, .slots = 8, .share = 0.9 },
        { .name = "falling above half, 0.9, at once",
            .targets = targetsOf({ falling }, 8),
            .kinds = { page },
            .slots = 8,
            .share = 0.9,
            .startsInFull = true },
        { .name = "knee at half, 1.2", .targets = targetsOf({ knee }, 8), .kinds = { page }, .slots = 8, .share = 1.2 },
        { .name = "falling above half, 0.9",
            .targets = targetsOf({ falling }, 8),
            .kinds = { page },
            .slots = 8,
            .share = 0.9 },
        { .name = "falling above half, 1.2",
            .targets = targetsOf({ falling }, 8),
            .kinds = { page },
            .slots = 8,
            .share = 1.2 },
        { .name = "a quarter with a knee, 0.9",
            .targets = targetsOf({ plain, plain, plain, knee }, 3),
            .kinds = { page },
            .slots = 8,
            .share = 0.9 },
        { .name = "quarter slow for 6 s, 0.7",
            .targets = targetsOf({ plain, plain, plain, slowFor6 }, 2),
            .kinds = { page },
            .share = 0.7 },
        { .name = "all slow for 6 s, 0.7",
            .targets = targetsOf({ { .slowFrom = seconds(14), .slowUntil = seconds(20), .slowFactor = 2 } }, 8),
            .kinds = { page },
            .share = 0.7 },
        { .name = "two of eight cold, 0.7",
            .targets = targetsOf({ plain, plain, plain, cold }, 2),
            .kinds = { page },
            .share = 0.7 },
        { .name = "one resets requests, 0.7",
            .targets = targetsOf({ plain, plain, plain, plain, plain, plain, plain, resets }, 1),
            .kinds = { page },
            .share = 0.7 },
        { .name = "one answers errors, 0.7",
            .targets = targetsOf({ plain, plain, plain, plain, plain, plain, plain, errors }, 1),
            .kinds = { page },
            .share = 0.7 },
        { .name = "replaced by a faster one, 0.9",
            .targets = targetsOf({ plain, plain, plain, replaced }, 2),
            .kinds = { page },
            .share = 0.9 },
        { .name = "wave of 55 % in 15 s, knee, 0.8",
            .targets = targetsOf({ knee }, 8),
            .kinds = { page },
            .slots = 8,
            .share = 0.8,
            .swing = 0.55,
            .measuredTime = seconds(30) },
        { .name = "kinds of 5 and 70 ms, alike, 0.9",
            .targets = targetsOf({ plain }, 8),
            .kinds = { quick, slow },
            .share = 0.9 },
        { .name = "kinds of 5 and 70 ms, knee, 1.1",
            .targets = targetsOf({ falling }, 8),
            .kinds = { quick, slow },
            .slots = 8,
            .share = 1.1 },
    };
}

} // namespace hawthorncroft::bench
