#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <fstream>

/* Loaded into an entry VM's process (LD_PRELOAD): connections to the ports in the file that
   LACEWINGMUX_SOAK_CUTS names find no way. */

namespace {

bool isCut(const sockaddr *address)
{
    const char *fileName = std::getenv("LACEWINGMUX_SOAK_CUTS");
    if (fileName == nullptr || address == nullptr || address->sa_family != AF_INET)
        return false;
    const int target = ntohs(reinterpret_cast<const sockaddr_in *>(address)->sin_port);
    std::ifstream file(fileName);
    for (int port = 0; file >> port;) {
        if (port == target)
            return true;
    }
    return false;
}

} // namespace

extern "C" int connect(int socket, const sockaddr *address, socklen_t length)
{
    using Connect = int (*)(int, const sockaddr *, socklen_t);
    static const auto original = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
    if (isCut(address)) {
        errno = EHOSTUNREACH;
        return -1;
    }
    return original(socket, address, length);
}
