#include "balancer_thread.h"
#include "process_base.h"

int main(int argc, char** argv)
{
    return hawthorncroft::runProcess<hawthorncroft::BalancerThread>(hawthorncroft::Program::Balancer, argc, argv);
}
