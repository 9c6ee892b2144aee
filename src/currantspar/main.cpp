#include "currantspar/cli/run.hpp"

int main(int argc, char** argv)
{
    return currantspar::cli::run(argc, argv);
}
