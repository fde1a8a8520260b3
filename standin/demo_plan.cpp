#include "demo_type.h"

#include "config_func.h"
#include "settings_func.h"
#include "standin_func.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    constexpr std::array<std::pair<std::string_view, std::string DemoPlan::*>, 6> textFields { {
        { "title", &DemoPlan::title },
        { "feedName", &DemoPlan::feedName },
        { "confirmName", &DemoPlan::confirmName },
        { "uploadName", &DemoPlan::uploadName },
        { "peakPreset", &DemoPlan::peakPreset },
        { "domainOut", &DemoPlan::domainOut },
    } };

    constexpr std::array<std::pair<std::string_view, std::uint32_t DemoPlan::*>, 9> numberFields { {
        { "callerDelayUs", &DemoPlan::callerDelayUs },
        { "serviceMs", &DemoPlan::serviceMs },
        { "confirmationsPerSecond", &DemoPlan::confirmationsPerSecond },
        { "feeds", &DemoPlan::feeds },
        { "uploadsPerSecond", &DemoPlan::uploadsPerSecond },
        { "uploadKilobytes", &DemoPlan::uploadKilobytes },
        { "balancerKilled", &DemoPlan::balancerKilled },
        { "balancerAdded", &DemoPlan::balancerAdded },
        { "targetDrained", &DemoPlan::targetDrained },
    } };

    constexpr std::array<std::pair<std::string_view, std::vector<std::string> DemoPlan::*>, 2> listFields { {
        { "spellings", &DemoPlan::spellings },
        { "unknownNames", &DemoPlan::unknownNames },
    } };

    std::string readFile(const std::filesystem::path& file)
    {
        std::ifstream stream(file);
        return { std::istreambuf_iterator<char>(stream), {} };
    }

    std::string stringAt(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_string() ? value->as_string().c_str() : "";
    }

    /** Empty on success. */
    std::string readFields(const json::object& object, DemoPlan& plan)
    {
        for (const auto& [name, member] : textFields) {
            plan.*member = stringAt(object, name);
            if ((plan.*member).empty())
                return std::string(name) + ": a text is expected";
        }
        for (const auto& [name, member] : numberFields) {
            boost::system::error_code error;
            const json::value* value = object.if_contains(name);
            plan.*member = value ? value->to_number<std::uint32_t>(error) : 0;
            if (!value || error)
                return std::string(name) + ": a whole number is expected";
        }
        for (const auto& [name, member] : listFields) {
            const json::value* value = object.if_contains(name);
            if (!value || !value->is_array())
                return std::string(name) + ": a list is expected";
            for (const auto& item : value->as_array())
                (plan.*member).emplace_back(item.as_string().c_str());
        }
        bool hasFabric = parseEndpoint(stringAt(object, "fabric"), plan.fabric)
            && parseEndpoint(stringAt(object, "fabricControl"), plan.fabricControl);
        return hasFabric ? "" : "fabric, fabricControl: addresses are expected";
    }

    void addNames(const ServicesDocument& document, DemoPlan& plan)
    {
        for (const auto& service : document.services) {
            plan.names[service.name] = service.id;
            for (const auto& name : service.names)
                plan.names[name] = service.id;
            for (const auto& spelling : service.spellings)
                plan.names[spelling] = service.id;
        }
    }

    /** Empty on success. */
    std::string readDocument(const std::filesystem::path& file, DemoPlan& plan)
    {
        std::string key = file.stem().string();
        std::size_t hyphen = key.find('-');
        if (hyphen != std::string::npos)
            key[hyphen] = '/';
        std::string text = readFile(file);
        CheckedDocument checked = parseDocument(key, text);
        if (!checked.isAccepted())
            return toString(checked.faults.front());
        if (const auto* services = std::get_if<ServicesDocument>(checked.document.get()))
            addNames(*services, plan);
        if (const auto* targets = std::get_if<TargetsDocument>(checked.document.get()))
            plan.targets.insert(plan.targets.end(), targets->targets.begin(), targets->targets.end());
        if (std::holds_alternative<OperationsDocument>(*checked.document))
            plan.operations = text;
        return "";
    }

    /** Empty on success. */
    std::string readProcess(Program program, const std::filesystem::path& file, std::vector<DemoProcess>& processes)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_AUTO(settings, loadSettings(program, file.string()));
                processes.push_back({ file.stem().string(), file.string(), settings });
                return std::string();
            },
            [](const SettingsError& error) { return toString(error.faults.front()); },
            [&] { return "cannot read " + file.string(); });
    }

    std::vector<std::filesystem::path> filesIn(const std::filesystem::path& directory)
    {
        std::error_code error;
        std::vector<std::filesystem::path> files;
        for (const auto& entry : std::filesystem::directory_iterator(directory, error))
            files.push_back(entry.path());
        // Sort shorter names first, so that agent-10 follows agent-9.
        std::sort(files.begin(), files.end(), [](const auto& a, const auto& b) {
            return std::pair(a.string().size(), a.string()) < std::pair(b.string().size(), b.string());
        });
        return files;
    }

}

const TargetConfig* DemoPlan::target(TargetId id) const
{
    auto found = std::find_if(targets.begin(), targets.end(), [&](const TargetConfig& t) { return t.id == id; });
    return found == targets.end() ? nullptr : &*found;
}

const DemoProcess* DemoPlan::agentOf(TargetId id) const
{
    auto found = std::find_if(
        agents.begin(), agents.end(), [&](const DemoProcess& agent) { return agent.settings.targetId == id.value; });
    return found == agents.end() ? nullptr : &*found;
}

std::string loadDemoPlan(const std::string& directory, DemoPlan& plan)
{
    std::filesystem::path root(directory);
    plan.name = root.filename().string();
    plan.documentsDirectory = (root / "documents").string();
    json::object object;
    if (!parseObject(readFile(root / "demo.json"), object))
        return directory + "/demo.json: a JSON object is expected";
    std::string fault = readFields(object, plan);
    if (!fault.empty())
        return directory + "/demo.json: " + fault;
    for (const auto& file : filesIn(root / "documents")) {
        fault = readDocument(file, plan);
        if (!fault.empty())
            return fault;
    }
    for (const auto& file : filesIn(root / "settings")) {
        bool isBalancer = file.filename().string().starts_with("balancer");
        fault = readProcess(
            isBalancer ? Program::Balancer : Program::Agent, file, isBalancer ? plan.balancers : plan.agents);
        if (!fault.empty())
            return fault;
    }
    for (const auto& name : { plan.feedName, plan.confirmName, plan.uploadName }) {
        if (!plan.names.contains(name))
            return "demo.json: no service is called " + name;
    }
    bool hasProcesses = plan.balancers.size() >= std::max(plan.balancerKilled, plan.balancerAdded)
        && plan.agents.size() == plan.targets.size();
    return hasProcesses ? "" : directory + "/settings: a balancer or an agent is missing";
}

} // namespace hawthorncroft
