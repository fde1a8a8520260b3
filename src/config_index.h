/**
 * @file config_index.h
 * Index by id over the items of several documents. Documents are validated one at a time, so several may use the same
 * id. The document with the lowest key then takes precedence, so the result does not depend on the order of arrival.
 */
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthorncroft {

/** Index over items that have a member `id`. Refers to items and document keys but does not own them. */
template <typename Id, typename Item> class IdIndex {
public:
    /** Adds an item of a document. The item and the document key must outlive the entry. */
    void add(const std::string& document, const Item& item)
    {
        auto& claims = m_claims[item.id];
        auto place = std::find_if(
            claims.begin(), claims.end(), [&](const Claim& claim) { return document < *claim.document; });
        claims.insert(place, { &document, &item });
    }

    void remove(const Item& item)
    {
        auto entry = m_claims.find(item.id);
        if (entry == m_claims.end())
            return;
        std::erase_if(entry->second, [&](const Claim& claim) { return claim.item == &item; });
        if (entry->second.empty())
            m_claims.erase(entry);
    }

    /** @return The item that takes precedence for the id, or null. */
    const Item* find(Id id) const
    {
        auto entry = m_claims.find(id);
        return entry == m_claims.end() ? nullptr : entry->second.front().item;
    }

    /**
     * Checks a condition between the item that takes precedence for an id and every item with the id.
     * @param id The id.
     * @param condition Predicate that is called with the item that takes precedence and another item.
     * @return Whether the condition is true for all items; true when no item has the id.
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

    /** @return For each id the item that takes precedence, in no particular order. */
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

    std::unordered_map<Id, std::vector<Claim>> m_claims; ///< Ordered by document key.
};

} // namespace hawthorncroft
