#include "ctl_func.h"

#include "config_diff.h"

#include <ostream>

namespace hawthorncroft {

namespace options = boost::program_options;

namespace {

    constexpr const char* diffUsage = "Usage: hawthorncroftctl diff [--json] OLD NEW\n"
                                      "OLD and NEW are FILE or KEY=FILE with two documents of the same kind.\n"
                                      "Describes what the change means for callers.";

    void printText(std::ostream& out, const std::vector<ConfigChange>& changes)
    {
        for (const auto& change : changes)
            out << change.subject << ": " << change.effect << ".\n";
        if (changes.empty())
            out << "Nothing changes for callers.\n";
    }

    void printJson(std::ostream& out, const std::vector<ConfigChange>& changes)
    {
        out << "{\"changes\":[";
        for (std::size_t i = 0; i < changes.size(); ++i)
            out << (i ? "," : "") << "{\"subject\":" << quoted(changes[i].subject)
                << ",\"effect\":" << quoted(changes[i].effect) << '}';
        out << "]}\n";
    }

    bool areComparable(const DocumentFile& before, const DocumentFile& after, std::ostream& err)
    {
        for (const auto* file : { &before, &after }) {
            for (const auto& fault : file->faults)
                err << toString(fault) << '\n';
        }
        if (!before.document || !after.document)
            return false;
        if (before.document->index() == after.document->index())
            return true;
        err << "hawthorncroftctl: " << before.key << " and " << after.key << " are of different kinds\n";
        return false;
    }

}

int runDiff(const CtlArguments& arguments, CtlStreams streams)
{
    options::variables_map values;
    int status
        = parseArguments(arguments, options::options_description("Options"), "document", diffUsage, streams, values);
    if (status >= 0)
        return status;
    const auto& names = values["document"].as<std::vector<std::string>>();
    if (names.size() != 2) {
        streams.err << "hawthorncroftctl: diff needs two documents\n";
        return ctlRefused;
    }
    DocumentFile before = loadDocument(names[0]);
    DocumentFile after = loadDocument(names[1]);
    if (!areComparable(before, after, streams.err))
        return ctlRefused;
    auto changes = describeChanges(*before.document, *after.document);
    if (values.count("json"))
        printJson(streams.out, changes);
    else
        printText(streams.out, changes);
    return ctlOk;
}

} // namespace hawthorncroft
