#include "agent_thread.h"
#include "process_base.h"

int main(int argc, char** argv)
{
    return hawthorncroft::runProcess<hawthorncroft::AgentThread>(hawthorncroft::Program::Agent, argc, argv);
}
