/**
 * @file demo_load.h
 * The callers of the demo: feeds, signed confirmations, uploads, and confirmations with misspelled names.
 */
#pragma once

#include "caller_shell.h"
#include "demo_type.h"
#include "keyring_type.h"

#include <memory>
#include <unordered_map>

namespace hawthorncroft {

/** A number of callers that start work at a steady rate and record what becomes of it. */
class DemoLoad {
public:
    /**
     * @param context Runs the callers.
     * @param plan The deployment; must outlive the load.
     * @param flows Records are appended; must outlive the load.
     * @param seed Of the callers' jitter.
     */
    DemoLoad(boost::asio::io_context& context, const DemoPlan& plan, std::vector<DemoFlow>& flows, std::uint64_t seed);

    /** Opens the callers' sockets. @return Empty on success, otherwise what the system reports. */
    std::string open();

    /** Opens all feeds. They are opened again when they break. */
    void openFeeds();

    /**
     * Starts confirmations, uploads and misspelled names.
     * @param percent Share of the planned rates.
     */
    void setRate(std::uint32_t percent) { m_percent = percent; }

    /** Starts one idempotent confirmation, to find out whether the deployment serves. */
    void probe();

    /** Closes all feeds. */
    void closeFeeds();

    /** @return Flows that have not ended. */
    std::size_t openFlows() const;

private:
    /** A kind of work with its rate. */
    struct Stream {
        double perSecond {};
        double due {}; ///< Starts that are due, with fractions.
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
    Mac m_signature; ///< Of the person who confirms.
    std::vector<DemoFlow>& m_flows;
    std::vector<std::unique_ptr<CallerShell>> m_callers;
    std::unordered_map<FlowKey, std::size_t> m_index; ///< Place in m_flows.
    std::vector<Stream> m_streams;
    boost::asio::steady_timer m_timer;
    TimePoint m_lastTick;
    std::uint32_t m_percent {};
    std::uint64_t m_lastNumber {}; ///< Of letters, for unique payloads.
    std::size_t m_lastCaller {};
};

} // namespace hawthorncroft
