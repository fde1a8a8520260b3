/**
 * @file demo_process.h
 * Starts the processes of a deployment and terminates them by process id. Only the demo does this; the processes of
 * the load balancer start no others.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace hawthorncroft {

/** Child processes by name. The destructor terminates all that still run. */
class DemoProcesses {
public:
    /**
     * @param programs Directory of the programs.
     * @param logs Directory for the log files, one per process; created if necessary.
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
     * @return Empty on success, otherwise the system error.
     */
    std::string start(const std::string& name, const std::string& program, std::vector<std::string> arguments);

    /**
     * Sends a signal to one process.
     * @param name Name within the demo.
     * @param signal Signal number.
     */
    void signal(const std::string& name, int signal);

    /** @return Names of processes that ended without having been sent a signal. */
    std::vector<std::string> unexpectedEnds();

    /** Terminates all processes: SIGTERM, then SIGKILL after 4 s. */
    void endAll();

private:
    void reap();

    std::string m_programs;
    std::string m_logs;
    std::map<std::string, pid_t> m_running;
    std::vector<std::string> m_signalled; ///< Processes to which a signal was sent.
    std::vector<std::string> m_unexpected;
};

} // namespace hawthorncroft
