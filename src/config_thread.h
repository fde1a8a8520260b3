/**
 * @file config_thread.h
 * Thread that keeps the configuration up to date through gossip, deltas from peers and reads from the platform. It owns
 * the configuration replica and sends accepted documents to the data thread.
 */
#pragma once

#include "process_type.h"
#include "ring_type.h"
#include "settings_type.h"

#include <functional>
#include <memory>

namespace hawthorncroft {

/** Options of the configuration thread. */
struct ConfigThreadOptions {
    ProcessSettings settings;
    NodeId node; ///< Random id of this process.
    std::uint64_t randomSeed {}; ///< Seed for the random selection of peers.
};

/** The configuration thread. Runs from construction until stop() or destruction. */
class ConfigThread {
public:
    /**
     * @param options Settings of the process.
     * @param toData Ring to the data thread, with this thread as its only producer.
     * @param toControl Ring to the control thread for responses and key changes, with this thread as its only producer.
     */
    ConfigThread(const ConfigThreadOptions& options, Ring<DataInput>& toData, Ring<ControlInput>& toControl);
    ~ConfigThread();
    ConfigThread(const ConfigThread&) = delete;
    ConfigThread& operator=(const ConfigThread&) = delete;

    /**
     * Stops the thread and waits for it to end. Threads that push into each other's rings must all be stopped before
     * any of them is destroyed.
     */
    void stop();

    /** @return Ring for messages from the data thread. */
    Ring<ConfigInput>& input();

    /** @return Ring for requests from the control thread. */
    Ring<ForwardedRequest>& controlRequests();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
