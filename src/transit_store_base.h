/**
 * @file transit_store_base.h
 * Interface to the platform's store. The adapter to the platform implements it; the cores decide when it is called.
 */
#pragma once

#include "transit_effect_type.h"

#include <functional>

namespace hawthorncroft {

/** A page of all keys. */
struct StorePage {
    std::vector<StoreChange> changes;
    Revision asOf;
    std::string nextAfter; ///< Key after which the next page starts; empty after the last.
};

/** What changed after a revision. */
struct StoreChanges {
    std::vector<StoreChange> changes;
    Revision asOf;
};

using StoreOutcome = std::variant<StorePage, StoreChanges, StoreFailure>;

/** Client of the store. One call at a time. */
class StoreClient {
public:
    using Handler = std::function<void(StoreOutcome)>;

    StoreClient() = default;
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;
    virtual ~StoreClient() = default;

    /** Reads all keys, or those after a key. The handler is called once. */
    virtual void read(const ReadStore& call, Handler handler) = 0;

    /** Waits for changes. The handler is called once. */
    virtual void watch(const WatchStore& call, Handler handler) = 0;
};

} // namespace hawthorncroft
