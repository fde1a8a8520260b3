#include "ctl_func.h"

#include "config_func.h"
#include "config_warn.h"

#include <ostream>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    constexpr const char* checkUsage
        = "Usage: hawthorncroftctl check [--load PERCENT] [--json] DOCUMENT...\n"
          "A DOCUMENT is FILE or KEY=FILE. Without KEY the key is derived from the path, such as services/sofia.json.\n"
          "Documents that are checked together are also compared with each other.";

    void printFault(std::ostream& out, const ConfigFault& fault, bool isFirst)
    {
        out << (isFirst ? "" : ",") << "{\"document\":" << quoted(fault.document) << ",\"path\":" << quoted(fault.path)
            << ",\"value\":" << quoted(fault.value) << ",\"allowed\":" << quoted(fault.allowed)
            << ",\"warning\":" << (fault.warning ? "true" : "false") << '}';
    }

    void printJson(
        std::ostream& out, const std::vector<DocumentFile>& files, const std::vector<ConfigFault>& faults, int status)
    {
        out << "{\"accepted\":" << (status == ctlRefused ? "false" : "true") << ",\"documents\":[";
        for (std::size_t i = 0; i < files.size(); ++i)
            out << (i ? "," : "") << "{\"key\":" << quoted(files[i].key)
                << ",\"accepted\":" << (files[i].document ? "true" : "false") << '}';
        out << "],\"faults\":[";
        for (std::size_t i = 0; i < faults.size(); ++i)
            printFault(out, faults[i], i == 0);
        out << "]}\n";
    }

    void printText(std::ostream& out, const std::vector<DocumentFile>& files, const std::vector<ConfigFault>& faults)
    {
        for (const auto& fault : faults)
            out << toString(fault) << '\n';
        for (const auto& file : files)
            out << file.key << (file.document ? ": accepted.\n" : ": refused.\n");
    }

    /** Refuses each document whose key was given before: only one document per key can be in force. */
    void refuseDuplicateKeys(std::vector<DocumentFile>& files)
    {
        for (std::size_t i = 0; i < files.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (files[i].key != files[j].key)
                    continue;
                files[i].faults.push_back({ files[i].key, "", "a second document", "one document for each key" });
                files[i].document.reset();
                break;
            }
        }
    }

}

int runCheck(const CtlArguments& arguments, CtlStreams streams)
{
    std::uint32_t load = WarningOptions().loadPercent;
    options::options_description known("Options");
    known.add_options()("load", options::value(&load)->default_value(load),
        "share of all slots of a service that the present load needs, in percent");
    options::variables_map values;
    int status = parseArguments(arguments, known, "document", checkUsage, streams, values);
    if (status >= 0)
        return status;
    std::vector<DocumentFile> files;
    for (const auto& argument : values["document"].as<std::vector<std::string>>())
        files.push_back(loadDocument(argument));
    if (files.empty() || load > 1000) {
        streams.err << "hawthorncroftctl: check needs a document, and a load from 0 to 1000 percent\n";
        return ctlRefused;
    }
    refuseDuplicateKeys(files);
    std::vector<ConfigFault> faults;
    std::vector<VersionedDocument> accepted;
    for (const auto& file : files) {
        faults.insert(faults.end(), file.faults.begin(), file.faults.end());
        if (file.document)
            accepted.push_back({ file.key, {}, file.text, file.document });
    }
    status = faults.empty() ? ctlOk : ctlRefused;
    auto warnings = warningsOf(accepted, { .loadPercent = load });
    if (status == ctlOk && !warnings.empty())
        status = ctlWarnings;
    faults.insert(faults.end(), warnings.begin(), warnings.end());
    if (values.count("json"))
        printJson(streams.out, files, faults, status);
    else
        printText(streams.out, files, faults);
    return status;
}

} // namespace hawthorncroft
