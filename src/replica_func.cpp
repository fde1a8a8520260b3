#include "replica_func.h"

#include <boost/json.hpp>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    std::string toJson(const DocumentChange& change)
    {
        std::string text = "{\"key\":" + json::serialize(json::string(change.key));
        text += ",\"revision\":" + std::to_string(change.revision.value);
        text += ",\"document\":" + (change.text.empty() ? "null" : change.text);
        return text + "}";
    }

    bool readRevision(const json::object& object, json::string_view name, Revision& revision)
    {
        const auto* value = object.if_contains(name);
        if (!value || !value->is_number())
            return false;
        json::error_code error;
        revision = Revision(value->to_number<std::uint64_t>(error));
        return !error;
    }

    bool readChange(const json::value& value, DocumentChange& change)
    {
        const auto* object = value.if_object();
        const auto* key = object ? object->if_contains("key") : nullptr;
        const auto* document = object ? object->if_contains("document") : nullptr;
        if (!key || !key->is_string() || !document || !readRevision(*object, "revision", change.revision))
            return false;
        change.key.assign(key->get_string().data(), key->get_string().size());
        if (!document->is_null())
            change.text = json::serialize(*document);
        return true;
    }

    std::string readChanges(const json::object& root, Delta& delta)
    {
        const auto* changes = root.if_contains("changes");
        if (!changes || !changes->is_array())
            return "changes is not an array";
        for (const auto& value : changes->get_array()) {
            if (!readChange(value, delta.changes.emplace_back()))
                return "changes[" + std::to_string(delta.changes.size() - 1)
                    + "] has no valid key, revision or document";
        }
        return {};
    }

}

std::string toJson(const Delta& delta)
{
    std::string text = "{\"revision\":" + std::to_string(delta.completeThrough.value);
    text += ",\"since\":" + std::to_string(delta.since.value);
    text += delta.isFull ? ",\"full\":true,\"changes\":[" : ",\"full\":false,\"changes\":[";
    for (std::size_t i = 0; i < delta.changes.size(); ++i)
        text += (i ? "," : "") + toJson(delta.changes[i]);
    return text + "]}";
}

std::string parseDelta(std::string_view text, Revision since, Delta& delta)
{
    json::error_code error;
    json::value value = json::parse({ text.data(), text.size() }, error);
    if (error)
        return error.message();
    const auto* root = value.if_object();
    Delta read;
    if (!root || !readRevision(*root, "revision", read.completeThrough))
        return "revision is missing or not a number";
    read.since = since;
    readRevision(*root, "since", read.since);
    const auto* full = root->if_contains("full");
    read.isFull = full && full->is_bool() && full->get_bool();
    std::string fault = readChanges(*root, read);
    if (fault.empty())
        delta = std::move(read);
    return fault;
}

} // namespace hawthorncroft
