/**
 * @file transit_store_base.h
 * Interface to the platform's store. The platform adapter implements it; the cores decide when it is called.
 */
#pragma once

#include "transit_effect_type.h"

#include <functional>

namespace hawthorncroft {

/** One page of a full read. */
struct StorePage {
    std::vector<StoreChange> changes;
    Revision asOf;
    std::string nextAfter; ///< Key after which the next page starts; empty on the last page.
};

/** Response to a watch: all changes after its revision, up to `asOf`. */
struct StoreChanges {
    std::vector<StoreChange> changes;
    Revision asOf;
};

using StoreOutcome = std::variant<StorePage, StoreChanges, StoreFailure>;

/** Response to a call, or its failure. */
struct StoreAnswer {
    StoreOutcome outcome;
    StoreEra era; ///< Era that the store told last, in this response if it did; zero when it never told one.
};

/** Store client. At most one call may be in progress. */
class StoreClient {
public:
    using Handler = std::function<void(StoreAnswer)>;

    StoreClient() = default;
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;
    virtual ~StoreClient() = default;

    /** Reads one page of all keys, from the start or after a key. The handler is called exactly once. */
    virtual void read(const ReadStore& call, Handler handler) = 0;

    /** Waits for changes after a revision. The handler is called exactly once. */
    virtual void watch(const WatchStore& call, Handler handler) = 0;
};

} // namespace hawthorncroft
