#include "ctl_func.h"

#include <iostream>

int main(int argc, char** argv)
{
    hawthorncroft::CtlArguments arguments(argv + 1, argv + argc);
    return hawthorncroft::runCtl(arguments, { std::cout, std::cerr });
}
