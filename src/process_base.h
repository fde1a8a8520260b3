/**
 * @file process_base.h
 * Main function of balancers and agents: settings, logging, threads, and graceful shutdown on SIGTERM or SIGINT.
 */
#pragma once

#include "config_thread.h"
#include "control_thread.h"
#include "metrics_thread.h"
#include "settings_func.h"

#include "clock_func.h"
#include "log_func.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace hawthorncroft {

/**
 * Runs a process until SIGTERM or SIGINT.
 * @tparam DataThread BalancerThread or AgentThread.
 * @param program Program to run.
 * @param argc Number of arguments.
 * @param argv Command-line arguments.
 * @return Exit status: 0 after a graceful shutdown, 2 on an error in the settings.
 */
template <typename DataThread> int runProcess(Program program, int argc, const char* const* argv)
{
    StartOptions options;
    int status = handleCommandLine(program, argc, argv, options);
    if (status >= 0)
        return status;
    const ProcessSettings& settings = options.settings;
    startLogs(settings.log);
    NodeId node(randomNumber());
    DataThread data(settings, node);
    ControlThread control(settings);
    ConfigFault fault = data.open();
    if (fault.path.empty())
        fault = control.open();
    if (!fault.path.empty()) {
        fault.document = options.file;
        std::cerr << toString(fault) << '\n';
        return 2;
    }
    ConfigThread config(
        { .settings = settings, .node = node, .randomSeed = randomNumber() }, data.input(), control.fromConfig());
    data.start(config.input(), control.fromData());
    MetricsThread metrics(data.metrics(), control.fromMetrics());
    control.start(config.controlRequests(), metrics.controlRequests(), data.controlRequests());
    log(LogPart::Main, LogLevel::Info, "Started on VM " + settings.vm + ".");

    boost::asio::io_context context { 1 };
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        log(LogPart::Main, LogLevel::Info, "Graceful shutdown started.");
        data.shutDown([&] { boost::asio::post(context, [&] { context.stop(); }); });
    });
    auto work = boost::asio::make_work_guard(context);
    context.run();
    data.stop();
    control.stop();
    metrics.stop();
    config.stop();
    log(LogPart::Main, LogLevel::Info, "Ended.");
    return 0;
}

} // namespace hawthorncroft
