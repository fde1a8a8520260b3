/**
 * @file replica_store.h
 * Stores the newest accepted document of every key, indexed by revision to answer deltas.
 */
#pragma once

#include "replica_type.h"

#include <map>
#include <set>

namespace hawthorncroft {

/** Documents of one replica. The highest revision of a key wins; a document never reverts to a lower revision. */
class DocumentStore {
public:
    /**
     * Applies those changes of a delta that are newer than the stored documents.
     * @param delta The delta.
     * @param[in,out] counters Counts accepted, older, refused and conflicting documents.
     * @return The accepted documents, including removals, in the order of the delta.
     */
    std::vector<VersionedDocument> apply(const Delta& delta, ReplicaCounters& counters);

    /**
     * Builds the delta that answers a request. It is full when a tombstone newer than `since` may have been evicted.
     * @param since Return changes above this revision; zero for a process that holds no documents.
     * @param maxBytes Total size of the texts at which the delta is truncated; it contains at least one revision. A
     *                 full delta is not truncated, because the receiver removes every document that it does not list.
     * @return The delta. `completeThrough` is lower than that of the store when it was truncated.
     */
    Delta deltaSince(Revision since, std::size_t maxBytes) const;

    /** @return Revision up to which the newest accepted document of every key is stored. */
    Revision completeThrough() const { return m_completeThrough; }

    /** @return The newest document of every key, including tombstones. */
    const std::map<std::string, VersionedDocument>& documents() const { return m_documents; }

    /** @return Faults of refused documents by key, for at most `maxFaultyDocuments` keys. */
    const std::map<std::string, std::vector<ConfigFault>>& faults() const { return m_faults; }

private:
    bool isNewer(const DocumentChange& change, ReplicaCounters& counters) const;
    bool hasOtherContent(const VersionedDocument& held, const DocumentChange& change) const;
    void put(VersionedDocument document);
    void removeUnlisted(const Delta& delta, std::vector<VersionedDocument>& accepted);
    void evictOldTombstones();
    void recordFaults(const std::string& key, std::vector<ConfigFault> faults);

    std::map<std::string, VersionedDocument> m_documents;
    std::set<std::pair<Revision, std::string>> m_byRevision; ///< Index of all documents, tombstones included.
    std::set<std::pair<Revision, std::string>> m_tombstones; ///< Index of the tombstones.
    std::map<std::string, std::vector<ConfigFault>> m_faults;
    Revision m_completeThrough;
    Revision m_tombstonesEvictedThrough; ///< Tombstones up to this revision may have been evicted.
};

} // namespace hawthorncroft
