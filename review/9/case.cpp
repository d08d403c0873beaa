#include "../harness-3/CrashingRequests.h"

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    review::record.open(argc > 1 ? argv[1] : "record.txt");
    review::CrashingRequests requests(2, 182);
    const int code = requests.run();
    std::cout.flush();
    ::_exit(code); // threads of the stand-ins still run
}
