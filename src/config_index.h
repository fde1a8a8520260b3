/**
 * @file config_index.h
 * Index by id over items of several documents. Documents are checked one at a time, so two of them may use the same id;
 * the one with the lowest key then holds it, whatever the order in which the documents arrived.
 */
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthorncroft {

/** Index over items that have a member `id`. Items and document keys are owned by the documents. */
template <typename Id, typename Item> class IdIndex {
public:
    /** Adds an item of a document; both must outlive their entry. */
    void add(const std::string& document, const Item& item)
    {
        auto& claims = m_claims[item.id];
        auto place = std::find_if(
            claims.begin(), claims.end(), [&](const Claim& claim) { return document < *claim.document; });
        claims.insert(place, { &document, &item });
    }

    /** Removes an item. */
    void remove(const Item& item)
    {
        auto entry = m_claims.find(item.id);
        if (entry == m_claims.end())
            return;
        std::erase_if(entry->second, [&](const Claim& claim) { return claim.item == &item; });
        if (entry->second.empty())
            m_claims.erase(entry);
    }

    /** @return The item that holds the id, or null. */
    const Item* find(Id id) const
    {
        auto entry = m_claims.find(id);
        return entry == m_claims.end() ? nullptr : entry->second.front().item;
    }

    /**
     * Tells whether a condition holds for every pair of the holder of an id and another item with the id.
     * @param id The id.
     * @param condition Function of two items.
     */
    template <typename Condition> bool allAgree(Id id, Condition condition) const
    {
        auto entry = m_claims.find(id);
        if (entry == m_claims.end())
            return true;
        const Item& holder = *entry->second.front().item;
        return std::all_of(entry->second.begin(), entry->second.end(),
            [&](const Claim& claim) { return condition(holder, *claim.item); });
    }

    /** @return The holders of all ids, in no particular order. */
    std::vector<const Item*> holders() const
    {
        std::vector<const Item*> items;
        items.reserve(m_claims.size());
        for (const auto& [id, claims] : m_claims)
            items.push_back(claims.front().item);
        return items;
    }

private:
    struct Claim {
        const std::string* document;
        const Item* item;
    };

    std::unordered_map<Id, std::vector<Claim>> m_claims; ///< In the order of the documents' keys.
};

} // namespace hawthorncroft
