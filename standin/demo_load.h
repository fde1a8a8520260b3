/**
 * @file demo_load.h
 * Load generator of the demo: feeds, signed confirmations, uploads, and confirmations with misspelled names.
 */
#pragma once

#include "caller_shell.h"
#include "demo_type.h"
#include "keyring_type.h"

#include <memory>
#include <unordered_map>

namespace hawthorncroft {

/** A group of callers that start flows at constant rates and record the outcomes. */
class DemoLoad {
public:
    /**
     * @param context Event loop of the callers.
     * @param plan The deployment; must outlive the load.
     * @param flows Records are appended; must outlive the load.
     * @param seed Seed of the callers' jitter.
     */
    DemoLoad(boost::asio::io_context& context, const DemoPlan& plan, std::vector<DemoFlow>& flows, std::uint64_t seed);

    /** Opens the callers' sockets. @return Empty on success, otherwise the system error. */
    std::string open();

    /** Opens all feeds. A feed that breaks is opened again. */
    void openFeeds();

    /**
     * Sets the rate of confirmations, uploads and misspelled names.
     * @param percent Percentage of the planned rates; zero stops them.
     */
    void setRate(std::uint32_t percent) { m_percent = percent; }

    /** Starts one idempotent confirmation, to detect whether the deployment is serving. */
    void probe();

    /** Closes all feeds. */
    void closeFeeds();

    /** @return Number of flows that have not ended. */
    std::size_t openFlows() const;

private:
    /** A source of flows of one kind with its rate. */
    struct Stream {
        double perSecond {};
        double due {}; ///< Number of flows due to start; fractions carry over to the next tick.
        void (DemoLoad::*start)();
    };

    CallerShell& nextCaller();
    void onTick();
    void confirm();
    void confirmMisspelled();
    void confirmUnknown();
    void upload();
    void confirmAs(const std::string& name, DemoWork work, bool idempotent);
    void record(DemoFlow flow);
    DemoFlow* find(std::size_t caller, FlowId flow);
    void onEffect(std::size_t caller, const CallerEffect& effect);
    void onFinished(std::size_t caller, const Finished& finished);
    void onBroken(std::size_t caller, const FlowBroken& broken);

    const DemoPlan& m_plan;
    Mac m_signature; ///< Computes the signature of the person who confirms.
    std::vector<DemoFlow>& m_flows;
    std::vector<std::unique_ptr<CallerShell>> m_callers;
    std::unordered_map<FlowKey, std::size_t> m_index; ///< Index into m_flows.
    std::vector<Stream> m_streams;
    boost::asio::steady_timer m_timer;
    TimePoint m_lastTick;
    std::uint32_t m_percent {};
    std::uint64_t m_lastNumber {}; ///< Last number in a payload; makes payloads unique.
    std::size_t m_lastCaller {};
};

} // namespace hawthorncroft
