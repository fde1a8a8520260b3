/**
 * @file demo_script.h
 * Runs one deployment: starts its processes, applies a fixed sequence of changes under load, and collects the records.
 */
#pragma once

#include "control_base.h"
#include "demo_load.h"
#include "demo_process.h"
#include "demo_type.h"
#include "http2_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <functional>

namespace hawthorncroft {

/** One run of one deployment. */
class DemoScript {
public:
    /** Receives one line of progress. */
    using Progress = std::function<void(const std::string&)>;

    /**
     * @param plan The deployment; must outlive the script.
     * @param processes Starts the processes of the deployment; must outlive the script.
     * @param seed Seed of the fabric, the targets and the callers.
     * @param progress Receives the progress lines.
     */
    DemoScript(const DemoPlan& plan, DemoProcesses& processes, std::uint64_t seed, Progress progress);
    ~DemoScript();

    /**
     * Starts the deployment and runs all steps.
     * @param[out] records Set on success.
     * @return Empty on success, otherwise why the deployment could not be run.
     */
    std::string run(DemoRecords& records);

private:
    /** A step of the sequence, with the time at which it is due. */
    struct Step {
        std::uint32_t atMs; ///< Time since the start of the sequence; milliseconds.
        const char* text; ///< Progress line.
        void (DemoScript::*action)();
    };

    static const std::vector<Step> steps;

    std::string startProcesses();
    std::string startTarget(const TargetConfig& target);
    std::string waitUntilServing();
    void runSteps();

    // Actions of the steps, in order of execution.
    void openFeeds();
    void startHalfLoad();
    void startLoad();
    void startSteady();
    void endSteady();
    void switchPreset();
    void killBalancer();
    void removeBalancer();
    void startBalancer();
    void addBalancer();
    void drainTarget();
    void undrainTarget();
    void takeDomainOut();
    void bringDomainBack();
    void stopLoad();
    void closeFeeds();
    void end();

    void runFor(Duration duration);
    Http2Result call(Endpoint to, const std::string& method, const std::string& path, const std::string& body = {});
    ControlResult callControl(Endpoint to, const std::string& path);
    void callTarget(const TargetConfig& target, const std::string& path, const std::string& body = {});
    void sendToFabric(const std::string& command);
    void publish(const std::string& what);
    void checkPropagation();
    std::uint64_t lowestRevision();
    DemoTruth readTruth();
    const DemoProcess& balancer(std::uint32_t number) const { return m_plan.balancers[number - 1]; }
    bool isInDomainOut(const std::string& failureDomain) const { return failureDomain == m_plan.domainOut; }

    const DemoPlan& m_plan;
    DemoProcesses& m_processes;
    std::uint64_t m_seed;
    Progress m_progress;
    boost::asio::io_context m_context;
    DemoRecords m_records;
    std::map<Endpoint, std::unique_ptr<Http2Client>> m_clients;
    Keyring m_keyring;
    ControlClient m_control;
    UdpSocket m_fabricSocket;
    DemoLoad m_load;
    boost::json::object m_operations; ///< The operations document as last published.
    std::map<std::string, Endpoint> m_controls; ///< Control ports of the running processes, by name.
    std::string m_change; ///< Change whose propagation time is being measured; empty for none.
    std::uint64_t m_changeRevision {};
    TimePoint m_changedAt;
};

} // namespace hawthorncroft
