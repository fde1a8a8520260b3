#include "settings_func.h"

#include "log_func.h"
#include "table/settings_keys.h"
#include "version_func.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace hawthorncroft {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

    constexpr std::size_t maxPeers = 64;
    constexpr std::size_t maxKeys = 8;
    constexpr std::size_t maxTextBytes = 128;
    constexpr std::size_t maxDisplayBytes = 80; ///< Longer values are truncated in error messages.

    bool readValue(const json::value& value, std::string& text)
    {
        if (!value.is_string() || value.as_string().empty() || value.as_string().size() > maxTextBytes)
            return false;
        text = value.as_string().c_str();
        return true;
    }

    bool readValue(const json::value& value, Endpoint& endpoint)
    {
        return value.is_string() && parseEndpoint(value.as_string().c_str(), endpoint);
    }

    bool readValue(const json::value& value, std::vector<Endpoint>& endpoints)
    {
        if (!value.is_array() || value.as_array().size() > maxPeers)
            return false;
        for (const auto& item : value.as_array()) {
            Endpoint endpoint;
            if (!readValue(item, endpoint))
                return false;
            endpoints.push_back(endpoint);
        }
        return true;
    }

    bool readNumber(const json::value& value, std::uint32_t lowest, std::uint32_t highest, std::uint32_t& number)
    {
        if (!value.is_int64() || value.as_int64() < lowest || value.as_int64() > highest)
            return false;
        number = static_cast<std::uint32_t>(value.as_int64());
        return true;
    }

    bool readSecret(const json::value& value, MacKey& secret)
    {
        if (!value.is_string() || value.as_string().size() != 2 * secret.size())
            return false;
        const char* digits = value.as_string().data();
        for (auto& byte : secret) {
            auto [end, error] = std::from_chars(digits, digits + 2, byte, 16);
            if (error != std::errc() || end != digits + 2)
                return false;
            digits += 2;
        }
        return true;
    }

    bool readKey(const json::value& value, KeySetting& key)
    {
        const auto* object = value.if_object();
        if (!object || object->size() != 2 || !object->contains("id") || !object->contains("secret"))
            return false;
        return readNumber(object->at("id"), 1, 4294967295, key.id.value)
            && readSecret(object->at("secret"), key.secret);
    }

    bool readValue(const json::value& value, std::vector<KeySetting>& keys)
    {
        if (!value.is_array() || value.as_array().empty() || value.as_array().size() > maxKeys)
            return false;
        for (const auto& item : value.as_array()) {
            KeySetting key;
            if (!readKey(item, key))
                return false;
            keys.push_back(key);
        }
        return true;
    }

    template <typename Enum> bool isNameOf(std::string_view name)
    {
        for (std::uint8_t i = 0; i < static_cast<std::uint8_t>(Enum::End); ++i) {
            if (nameOf(static_cast<Enum>(i)) == name)
                return true;
        }
        return false;
    }

    bool readValue(const json::value& value, std::map<std::string, std::string>& levels)
    {
        if (!value.is_object())
            return false;
        for (const auto& [part, level] : value.as_object()) {
            if (!isNameOf<LogPart>(part) || !level.is_string() || !isNameOf<LogLevel>(level.as_string().c_str()))
                return false;
            levels[part] = level.as_string().c_str();
        }
        return true;
    }

    bool readSetting(const SettingKey& key, const json::value& value, ProcessSettings& settings)
    {
        if (const auto* member = std::get_if<std::uint32_t ProcessSettings::*>(&key.member))
            return readNumber(value, key.lowest, key.highest, settings.**member);
        return std::visit(
            [&](auto member) {
                if constexpr (std::is_same_v<decltype(member), std::uint32_t ProcessSettings::*>)
                    return false;
                else
                    return readValue(value, settings.*member);
            },
            key.member);
    }

    bool isFor(const SettingKey& key, Program program)
    {
        return program == Program::Balancer ? key.forBalancer : key.forAgent;
    }

    std::string displayText(const json::value& value)
    {
        std::string text = json::serialize(value);
        return text.size() <= maxDisplayBytes ? text : text.substr(0, maxDisplayBytes) + "...";
    }

    std::string keysOf(Program program)
    {
        std::string names;
        for (const auto& key : settingKeys) {
            if (isFor(key, program))
                names += (names.empty() ? "" : ", ") + std::string(key.key);
        }
        return names;
    }

    class SettingsReader {
    public:
        SettingsReader(Program program, const std::string& file)
            : m_program(program)
            , m_file(file)
        {
        }

        void read(const json::object& object)
        {
            for (const auto& [name, value] : object)
                readMember(name, value);
            for (const auto& key : settingKeys) {
                if (key.isRequired && isFor(key, m_program) && !object.contains(key.key))
                    fault(key.key, "nothing", key.allowed);
            }
        }

        void fault(std::string_view path, std::string value, std::string_view allowed)
        {
            m_error.faults.push_back({ .document = m_file,
                .path = std::string(path),
                .value = std::move(value),
                .allowed = std::string(allowed) });
        }

        leaf::result<ProcessSettings> result()
        {
            if (!m_error.faults.empty())
                return leaf::new_error(std::move(m_error));
            return std::move(m_settings);
        }

    private:
        void readMember(std::string_view name, const json::value& value)
        {
            for (const auto& key : settingKeys) {
                if (key.key != name || !isFor(key, m_program))
                    continue;
                if (!readSetting(key, value, m_settings))
                    fault(name, displayText(value), key.allowed);
                return;
            }
            fault(name, "an unknown key", "one of " + keysOf(m_program));
        }

        Program m_program;
        std::string m_file;
        ProcessSettings m_settings;
        SettingsError m_error;
    };

}

leaf::result<ProcessSettings> parseSettings(Program program, const std::string& file, const std::string& text)
{
    SettingsReader reader(program, file);
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        reader.fault("", error ? error.message() : displayText(value), "a JSON object");
    } else {
        reader.read(value.as_object());
    }
    return reader.result();
}

leaf::result<ProcessSettings> loadSettings(Program program, const std::string& file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        SettingsReader reader(program, file);
        reader.fault("", "an unreadable file", "a readable file with a JSON object");
        return reader.result();
    }
    return parseSettings(program, file, text.str());
}

Keyring keyringOf(const ProcessSettings& settings)
{
    Keyring keyring;
    for (const auto& key : settings.keys)
        keyring.add(key.id, key.secret);
    return keyring;
}

namespace {

    int readFile(Program program, StartOptions& options)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<int> {
                BOOST_LEAF_ASSIGN(options.settings, loadSettings(program, options.file));
                return -1;
            },
            [](const SettingsError& error) {
                for (const auto& fault : error.faults)
                    std::cerr << toString(fault) << '\n';
                return 2;
            },
            [] {
                std::cerr << "The settings file cannot be read.\n";
                return 2;
            });
    }

}

int handleCommandLine(Program program, int argc, const char* const* argv, StartOptions& options)
{
    namespace po = boost::program_options;
    po::options_description description("Options");
    description.add_options()("help", "show this text")("version", "show the version")(
        "settings", po::value<std::string>(), "JSON settings file (required)");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "; see --help\n";
        return 2;
    }
    if (values.count("help")) {
        std::cout << description << "Settings keys: " << keysOf(program) << '\n';
        return 0;
    }
    if (values.count("version")) {
        std::cout << versionText() << '\n';
        return 0;
    }
    if (!values.count("settings")) {
        std::cerr << "--settings FILE is required; see --help\n";
        return 2;
    }
    options.file = values["settings"].as<std::string>();
    return readFile(program, options);
}

} // namespace hawthorncroft
