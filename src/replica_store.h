/**
 * @file replica_store.h
 * The newest accepted document of every key, and the order of their revisions, from which deltas are answered.
 */
#pragma once

#include "replica_type.h"

#include <map>
#include <set>

namespace hawthorncroft {

/** Documents of one replica. The highest revision of a key wins; nothing reverts. */
class DocumentStore {
public:
    /**
     * Takes the changes of a delta that are newer than what is held.
     * @param delta The delta.
     * @param[in,out] counters Counts accepted, older, refused and conflicting documents.
     * @return The accepted documents, including removals, in the order of the delta.
     */
    std::vector<VersionedDocument> apply(const Delta& delta, ReplicaCounters& counters);

    /**
     * Answers a delta. The answer is full when `since` is older than a removal that is no longer remembered.
     * @param since Changes above this revision are wanted.
     * @param maxBytes Size of the texts at which the answer ends; it always contains one revision at least. A full
     *                 answer is not cut, because the receiver removes what it does not list.
     * @return The changes; `completeThrough` is lower than that of the store when the answer was cut.
     */
    Delta deltaSince(Revision since, std::size_t maxBytes) const;

    /** @return For every key the newest accepted revision up to this one is held. */
    Revision completeThrough() const { return m_completeThrough; }

    /** @return The newest document of every key, including remembered removals. */
    const std::map<std::string, VersionedDocument>& documents() const { return m_documents; }

    /** @return Faults of the newest refused documents by key. */
    const std::map<std::string, std::vector<ConfigFault>>& faults() const { return m_faults; }

private:
    bool isNewer(const DocumentChange& change, ReplicaCounters& counters) const;
    bool hasOtherContent(const VersionedDocument& held, const DocumentChange& change) const;
    void put(VersionedDocument document);
    void removeUnlisted(const Delta& delta, std::vector<VersionedDocument>& accepted);
    void evictOldTombstones();
    void recordFaults(const std::string& key, std::vector<ConfigFault> faults);

    std::map<std::string, VersionedDocument> m_documents;
    std::set<std::pair<Revision, std::string>> m_byRevision; ///< Revision and key of every document.
    std::set<std::pair<Revision, std::string>> m_tombstones; ///< The removed ones among them.
    std::map<std::string, std::vector<ConfigFault>> m_faults;
    Revision m_completeThrough;
    Revision m_tombstonesEvictedThrough; ///< Removals up to this revision may be forgotten.
};

} // namespace hawthorncroft
