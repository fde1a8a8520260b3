/**
 * @file demo_process.h
 * Starts the processes of a deployment and ends them by their ids. Only the demo does this; the processes of the
 * product start no others.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace hawthorncroft {

/** Child processes by name. Ends all that are left when destroyed. */
class DemoProcesses {
public:
    /**
     * @param programs Directory of the programs.
     * @param logs Directory for one log file for each process; created.
     */
    DemoProcesses(std::string programs, std::string logs);
    ~DemoProcesses();
    DemoProcesses(const DemoProcesses&) = delete;
    DemoProcesses& operator=(const DemoProcesses&) = delete;

    /**
     * Starts a process with its output in a log file.
     * @param name Name within the demo.
     * @param program Program in the directory of programs.
     * @param arguments Arguments without the program's name.
     * @return Empty on success, otherwise what the system reports.
     */
    std::string start(const std::string& name, const std::string& program, std::vector<std::string> arguments);

    /**
     * Sends a signal to one process.
     * @param name Name within the demo.
     * @param signal Signal number.
     */
    void signal(const std::string& name, int signal);

    /** @return Names of processes that ended although nobody asked them to. */
    std::vector<std::string> unexpectedEnds();

    /** Ends all processes: SIGTERM, then SIGKILL after a few seconds. */
    void endAll();

private:
    void reap();

    std::string m_programs;
    std::string m_logs;
    std::map<std::string, pid_t> m_running;
    std::vector<std::string> m_signalled; ///< Processes that were asked to end.
    std::vector<std::string> m_unexpected;
};

} // namespace hawthorncroft
