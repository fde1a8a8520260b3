#include "config_reader.h"

#include <boost/json/basic_parser_impl.hpp>

namespace hawthorncroft {

namespace {

    namespace json = boost::json;

    /** Parser handler that tracks only the keys of the objects that are currently open. */
    struct RepeatedKeyHandler {
        static constexpr std::size_t max_object_size = -1; // NOLINT(readability-identifier-naming)
        static constexpr std::size_t max_array_size = -1; // NOLINT(readability-identifier-naming)
        static constexpr std::size_t max_key_size = -1; // NOLINT(readability-identifier-naming)
        static constexpr std::size_t max_string_size = -1; // NOLINT(readability-identifier-naming)

        explicit RepeatedKeyHandler(FaultList& list)
            : faults(&list)
        {
        }

        // Boost.JSON requires these function names.
        // NOLINTBEGIN(readability-identifier-naming)
        bool on_object_begin(json::error_code&)
        {
            openObjects.emplace_back();
            return true;
        }
        bool on_object_end(std::size_t, json::error_code&)
        {
            openObjects.pop_back();
            return true;
        }
        bool on_key_part(json::string_view part, std::size_t, json::error_code&)
        {
            key.append(part.data(), part.size());
            return true;
        }
        bool on_key(json::string_view part, std::size_t, json::error_code&)
        {
            key.append(part.data(), part.size());
            if (!openObjects.back().insert(key).second)
                faults->add(key, std::string_view("a repeated key"), "each key once in its object");
            key.clear();
            return true;
        }
        bool on_document_begin(json::error_code&) { return true; }
        bool on_document_end(json::error_code&) { return true; }
        bool on_array_begin(json::error_code&) { return true; }
        bool on_array_end(std::size_t, json::error_code&) { return true; }
        bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
        bool on_string(json::string_view, std::size_t, json::error_code&) { return true; }
        bool on_number_part(json::string_view, json::error_code&) { return true; }
        bool on_int64(std::int64_t, json::string_view, json::error_code&) { return true; }
        bool on_uint64(std::uint64_t, json::string_view, json::error_code&) { return true; }
        bool on_double(double, json::string_view, json::error_code&) { return true; }
        bool on_bool(bool, json::error_code&) { return true; }
        bool on_null(json::error_code&) { return true; }
        bool on_comment_part(json::string_view, json::error_code&) { return true; }
        bool on_comment(json::string_view, json::error_code&) { return true; }
        // NOLINTEND(readability-identifier-naming)

        FaultList* faults;
        std::string key; ///< Key that is being parsed; the parser may deliver it in parts.
        std::vector<std::set<std::string>> openObjects;
    };

}

void findRepeatedKeys(std::string_view text, FaultList& faults)
{
    json::basic_parser<RepeatedKeyHandler> parser(json::parse_options(), faults);
    json::error_code error;
    parser.write_some(false, text.data(), text.size(), error);
}

} // namespace hawthorncroft
