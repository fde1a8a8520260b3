#include "demo_type.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace hawthorncroft {

namespace {

    constexpr std::int64_t limitMs = 3000; ///< Limit of P4, P8 and P10 in tests; milliseconds.
    constexpr std::uint64_t limitCountMs = 3000;
    constexpr Duration inTime = seconds(1);
    constexpr Duration bucketLength = milliseconds(100);

    std::string decimal(double number, int digits)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.*f", digits, number);
        return text.data();
    }

    /** Evaluates one run. Each evaluate function adds lines to the table. */
    class RunEvaluator {
    public:
        RunEvaluator(const DemoPlan& plan, const DemoRecords& records)
            : m_plan(plan)
            , m_records(records)
        {
            for (const auto& [target, truth] : records.atEnd) {
                for (const auto& [flow, runs] : truth.flows)
                    m_runs[flow].push_back({ target, runs });
            }
        }

        std::vector<DemoFinding> evaluate()
        {
            evaluateFlows();
            evaluateExecutions();
            evaluateNames();
            evaluateChanges();
            evaluateBalance();
            evaluateAvailability();
            return std::move(m_findings);
        }

    private:
        struct Run {
            TargetId target;
            std::uint64_t runs {};
        };

        void addCount(std::string what, std::size_t value, bool isPromise = true)
        {
            m_findings.push_back({ std::move(what), std::to_string(value), "0", isPromise, value == 0 });
        }

        void addNumber(std::string what, std::string value)
        {
            m_findings.push_back({ std::move(what), std::move(value), "" });
        }

        template <typename Condition> std::size_t count(Condition condition) const
        {
            return static_cast<std::size_t>(std::count_if(m_records.flows.begin(), m_records.flows.end(), condition));
        }

        /** Whether the flow was open during the outage and its target is in that failure domain; the loss is accepted.
         */
        bool isGivenUp(const DemoFlow& flow) const
        {
            const TargetConfig* target = m_plan.target(flow.target);
            bool overlapsOutage
                = flow.endedAt >= m_records.times.domainOutAt && flow.startedAt < m_records.times.domainBackAt;
            return target && target->failureDomain == m_plan.domainOut && overlapsOutage;
        }

        static std::string flowText(const FlowKey& key)
        {
            return std::to_string(key.caller.value) + "/" + std::to_string(key.flow.value);
        }

        std::uint64_t runsOf(const FlowKey& key) const
        {
            auto found = m_runs.find(flowText(key));
            std::uint64_t sum = 0;
            for (const Run& run : found == m_runs.end() ? std::vector<Run>() : found->second)
                sum += run.runs;
            return sum;
        }

        void evaluateFlows()
        {
            auto isFeed = [](const DemoFlow& flow) { return flow.work == DemoWork::Feed; };
            auto isUpload = [](const DemoFlow& flow) { return flow.work == DemoWork::Upload; };
            auto mayHaveRun = [](const DemoFlow& flow) { return flow.outcome.verdict == Verdict::MayHaveRun; };
            auto isConfirmation = [](const DemoFlow& flow) { return flow.work == DemoWork::Confirmation; };
            addNumber("feeds opened", std::to_string(count(isFeed)));
            addNumber("feeds given up with the failure domain",
                std::to_string(count([&](const DemoFlow& f) { return isFeed(f) && f.isBroken && isGivenUp(f); })));
            std::size_t events = 0;
            for (const DemoFlow& flow : m_records.flows)
                events += flow.events;
            addNumber("feed events delivered", std::to_string(events));
            addCount("broken feeds (P1)",
                count([&](const DemoFlow& f) { return isFeed(f) && f.isBroken && !isGivenUp(f); }));
            addNumber("uploads", std::to_string(count(isUpload)));
            addCount("broken uploads (P1)",
                count([&](const DemoFlow& f) { return isUpload(f) && mayHaveRun(f) && !isGivenUp(f); }));
            addNumber("confirmations", std::to_string(count(isConfirmation)));
            addNumber("confirmations refused", std::to_string(count([&](const DemoFlow& f) {
                return isConfirmation(f) && f.outcome.verdict == Verdict::DidNotRun;
            })));
            addReasons("refused", Verdict::DidNotRun);
            addReasons("may have run", Verdict::MayHaveRun);
            auto isCut = [&](const DemoFlow& f) { return isConfirmation(f) && mayHaveRun(f) && !isGivenUp(f); };
            addCount("cut requests (P9)",
                count([&](const DemoFlow& f) { return isCut(f) && f.outcome.reason != Reason::NoAnswer; }));
            addCount("requests without an answer by the deadline",
                count([&](const DemoFlow& f) { return isCut(f) && f.outcome.reason == Reason::NoAnswer; }), false);
            addCount("answers of another request (P5)", count([](const DemoFlow& f) { return !f.hasOwnAnswer; }));
            addCount("flows that never ended", count([](const DemoFlow& f) { return !f.endedAt.us; }));
        }

        /** Adds one line for each reason that confirmations with the verdict ended with. */
        void addReasons(const std::string& verdictText, Verdict verdict)
        {
            std::map<std::string, std::size_t> counts;
            for (const DemoFlow& flow : m_records.flows) {
                if (flow.work != DemoWork::Confirmation || flow.outcome.verdict != verdict)
                    continue;
                std::string which = isGivenUp(flow) ? " (given up)" : "";
                std::string line = verdictText + ": ";
                line += nameOf(flow.outcome.reason);
                ++counts[line += which];
            }
            for (const auto& [reason, number] : counts)
                addNumber("  " + reason, std::to_string(number));
        }

        void evaluateExecutions()
        {
            std::size_t doubled = 0;
            std::size_t falseRefusals = 0;
            std::size_t falseAnswers = 0;
            for (const DemoFlow& flow : m_records.flows) {
                if (flow.work != DemoWork::Confirmation)
                    continue;
                std::uint64_t runs = runsOf(flow.key);
                doubled += runs > 1;
                falseRefusals += runs && flow.outcome.verdict == Verdict::DidNotRun;
                falseAnswers += !runs && flow.outcome.verdict == Verdict::Done;
            }
            addCount("doubled runs (P7)", doubled);
            addCount("false refusals (P6)", falseRefusals);
            addCount("answers without a run (P5)", falseAnswers);
            addCount("requests beyond what a target bears (P3)", sumOf(m_records.atEnd, "overload"));
            std::size_t before = sumOf(m_records.beforeSteady, "overload");
            std::size_t until = sumOf(m_records.beforeReturn, "overload");
            addNumber("of these at start / later / after the domain's return",
                std::to_string(before) + " / " + std::to_string(until - before) + " / "
                    + std::to_string(sumOf(m_records.atEnd, "overload") - until));
        }

        static std::size_t sumOf(const DemoTruth& truths, const std::string& name)
        {
            std::size_t sum = 0;
            for (const auto& [target, truth] : truths) {
                auto found = truth.counts.find(name);
                sum += found == truth.counts.end() ? 0 : found->second;
            }
            return sum;
        }

        void evaluateNames()
        {
            std::size_t misrouted = sumOf(m_records.atEnd, "wrong_service");
            for (const DemoFlow& flow : m_records.flows) {
                auto found = m_runs.find(flowText(flow.key));
                for (const Run& run : found == m_runs.end() ? std::vector<Run>() : found->second)
                    misrouted += m_plan.target(run.target)->service != flow.intendedService;
            }
            addCount("misrouted requests (P2)", misrouted);
            auto isUnknown = [](const DemoFlow& flow) { return flow.work == DemoWork::Unknown; };
            addNumber("requests with an unknown name", std::to_string(count(isUnknown)));
            addCount("unknown names not refused as such (P2)",
                count([&](const DemoFlow& f) { return isUnknown(f) && f.outcome.verdict != Verdict::DidNotRun; }));
        }

        /** Highest value of a counter over the targets that match. */
        template <typename Fits> std::uint64_t latest(const DemoTruth& truths, const std::string& name, Fits fits) const
        {
            std::uint64_t value = 0;
            for (const auto& [target, truth] : truths) {
                auto found = truth.counts.find(name);
                if (found != truth.counts.end() && fits(*m_plan.target(target)))
                    value = std::max(value, found->second);
            }
            return value;
        }

        void addTime(std::string what, std::uint64_t ms)
        {
            m_findings.push_back({ std::move(what), std::to_string(ms) + " ms", "3000 ms", true, ms <= limitCountMs });
        }

        void evaluateChanges()
        {
            addTime("last packet to the failure domain after it went out (P4)",
                latest(m_records.beforeReturn, "last_packet_after_out_ms",
                    [&](const TargetConfig& target) { return target.failureDomain == m_plan.domainOut; }));
            addTime("last new work at the drained target (P8)",
                latest(m_records.beforeUndrain, "last_new_after_drain_ms",
                    [&](const TargetConfig& target) { return target.id.value == m_plan.targetDrained; }));
            for (const auto& [change, ms] : m_records.inForceMs) {
                std::string value = ms < 0 ? "not within 5000 ms" : std::to_string(ms) + " ms";
                m_findings.push_back(
                    { change + " in force everywhere (P10)", value, "3000 ms", true, ms >= 0 && ms <= limitMs });
            }
        }

        void evaluateBalance()
        {
            double peak = 0;
            double sum = 0;
            std::size_t targets = 0;
            ServiceId service = m_plan.names.at(m_plan.confirmName);
            for (const TargetConfig& target : m_plan.targets) {
                if (target.service != service)
                    continue;
                auto runs = static_cast<double>(
                    m_records.afterSteady.at(target.id).executed - m_records.beforeSteady.at(target.id).executed);
                peak = std::max(peak, runs);
                sum += runs;
                ++targets;
            }
            double ratio = sum > 0 ? peak * static_cast<double>(targets) / sum : 0;
            constexpr double bound = 1.10;
            m_findings.push_back(
                { "imbalance in steady state, peak to mean", decimal(ratio, 3), "1.10", false, ratio <= bound });
        }

        /**
         * Share of the requests answered in time in each interval of 100 ms, from 500 ms before the failure domain is
         * taken out of service until 4 s after its return.
         */
        void evaluateAvailability()
        {
            struct Bucket {
                std::size_t all {};
                std::size_t inTime {};
            };
            std::map<std::int64_t, Bucket> buckets;
            TimePoint from = m_records.times.domainOutAt - milliseconds(500);
            TimePoint to = m_records.times.domainBackAt + seconds(4);
            for (const DemoFlow& flow : m_records.flows) {
                bool counts = flow.work == DemoWork::Confirmation && flow.startedAt >= from && flow.startedAt < to;
                if (!counts || isGivenUp(flow))
                    continue;
                Bucket& bucket = buckets[(flow.startedAt - from).us / bucketLength.us];
                ++bucket.all;
                bucket.inTime += flow.outcome.verdict == Verdict::Done && flow.endedAt - flow.startedAt <= inTime;
            }
            double worst = 1;
            std::size_t below = 0;
            constexpr double bound = 0.999;
            for (const auto& [number, bucket] : buckets) {
                double share = static_cast<double>(bucket.inTime) / static_cast<double>(bucket.all);
                worst = std::min(worst, share);
                below += share < bound;
            }
            constexpr double percent = 100;
            m_findings.push_back({ "requests in time in the worst 100 ms of the domain change",
                decimal(worst * percent, 2) + " %", "99.90 %", false, worst >= bound });
            m_findings.push_back({ "intervals of 100 ms below that",
                std::to_string(below) + " of " + std::to_string(buckets.size()), "0", false, below == 0 });
        }

        const DemoPlan& m_plan;
        const DemoRecords& m_records;
        std::map<std::string, std::vector<Run>> m_runs; ///< Keyed by "CALLER/FLOW".
        std::vector<DemoFinding> m_findings;
    };

}

std::vector<DemoFinding> evaluateRun(const DemoPlan& plan, const DemoRecords& records)
{
    return RunEvaluator(plan, records).evaluate();
}

} // namespace hawthorncroft
