#include "replica_store.h"

#include "config_func.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    bool isTombstone(const VersionedDocument& document)
    {
        return std::holds_alternative<RemovedDocument>(*document.document);
    }

    DocumentChange changeOf(const VersionedDocument& document)
    {
        return { document.key, document.revision, document.text };
    }

}

std::vector<VersionedDocument> DocumentStore::apply(const Delta& delta, ReplicaCounters& counters)
{
    std::vector<VersionedDocument> accepted;
    for (const DocumentChange& change : delta.changes) {
        if (!isNewer(change, counters))
            continue;
        CheckedDocument checked = parseDocument(change.key, change.text);
        if (!checked.isAccepted()) {
            ++counters.refused;
            recordFaults(change.key, std::move(checked.faults));
            continue;
        }
        ++counters.accepted;
        m_faults.erase(change.key);
        accepted.push_back({ change.key, change.revision, change.text, checked.document });
        put(accepted.back());
    }
    if (delta.isFull)
        removeUnlisted(delta, accepted);
    // A delta that starts above the store's complete revision leaves a gap, so the store is not complete up to its end.
    if (delta.isFull || delta.since <= m_completeThrough)
        m_completeThrough = std::max(m_completeThrough, delta.completeThrough);
    evictOldTombstones();
    return accepted;
}

bool DocumentStore::isNewer(const DocumentChange& change, ReplicaCounters& counters) const
{
    auto entry = m_documents.find(change.key);
    if (entry == m_documents.end() || entry->second.revision < change.revision)
        return true;
    if (entry->second.revision == change.revision && hasOtherContent(entry->second, change))
        ++counters.conflicts;
    else
        ++counters.older;
    return false;
}

bool DocumentStore::hasOtherContent(const VersionedDocument& held, const DocumentChange& change) const
{
    if (held.text == change.text)
        return false;
    // The texts of equal documents may differ, for example when an intermediate process parsed and printed one again.
    CheckedDocument checked = parseDocument(change.key, change.text);
    return !checked.isAccepted() || toJson(*checked.document) != toJson(*held.document);
}

void DocumentStore::put(VersionedDocument document)
{
    auto entry = m_documents.find(document.key);
    if (entry != m_documents.end()) {
        m_byRevision.erase({ entry->second.revision, document.key });
        m_tombstones.erase({ entry->second.revision, document.key });
    }
    m_byRevision.emplace(document.revision, document.key);
    if (isTombstone(document))
        m_tombstones.emplace(document.revision, document.key);
    std::string key = document.key;
    m_documents.insert_or_assign(std::move(key), std::move(document));
}

void DocumentStore::removeUnlisted(const Delta& delta, std::vector<VersionedDocument>& accepted)
{
    std::set<std::string_view> listed;
    for (const DocumentChange& change : delta.changes)
        listed.insert(change.key);
    std::vector<VersionedDocument> removed;
    for (const auto& [key, document] : m_documents) {
        if (document.revision <= delta.completeThrough && !isTombstone(document) && !listed.contains(key))
            removed.push_back({ key, delta.completeThrough, {}, std::make_shared<const Document>() });
    }
    for (auto& document : removed) {
        put(document);
        accepted.push_back(std::move(document));
    }
}

void DocumentStore::evictOldTombstones()
{
    while (m_tombstones.size() > maxTombstones) {
        auto [revision, key] = *m_tombstones.begin();
        m_tombstonesEvictedThrough = std::max(m_tombstonesEvictedThrough, revision);
        m_documents.erase(key);
        m_byRevision.erase({ revision, key });
        m_tombstones.erase(m_tombstones.begin());
    }
}

void DocumentStore::recordFaults(const std::string& key, std::vector<ConfigFault> faults)
{
    if (m_faults.size() < maxFaultyDocuments || m_faults.contains(key))
        m_faults.insert_or_assign(key, std::move(faults));
}

Delta DocumentStore::deltaSince(Revision since, std::size_t maxBytes) const
{
    Delta delta { since, m_completeThrough, false, {} };
    // A process without documents has nothing to remove, so it needs no full delta.
    delta.isFull = since && since < m_tombstonesEvictedThrough;
    std::size_t bytes = 0;
    Revision lastRevision = since;
    auto entry = delta.isFull ? m_byRevision.begin() : m_byRevision.lower_bound({ Revision(since.value + 1), {} });
    for (; entry != m_byRevision.end(); ++entry) {
        const VersionedDocument& document = m_documents.at(entry->second);
        bool isNextRevision = lastRevision < document.revision && !delta.changes.empty();
        if (!delta.isFull && bytes >= maxBytes && isNextRevision) {
            delta.completeThrough = std::min(delta.completeThrough, lastRevision);
            return delta;
        }
        delta.changes.push_back(changeOf(document));
        bytes += document.text.size();
        lastRevision = document.revision;
    }
    return delta;
}

} // namespace hawthorncroft
