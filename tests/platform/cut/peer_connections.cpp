#include "peer_connections.h"

#include <fstream>
#include <sstream>

namespace knapweed::soak {

std::set<std::string> connections_to(const std::set<std::uint16_t>& ports)
{
    constexpr int hexadecimal = 16;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // the names of the columns
    std::set<std::string> found;
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        columns >> number >> local >> remote;
        const auto colon = remote.find(':');
        if (colon == std::string::npos)
            continue;
        const auto port =
            static_cast<std::uint16_t>(std::stoul(remote.substr(colon + 1), nullptr, hexadecimal));
        if (ports.contains(port))
            found.insert(local.append(" ").append(remote));
    }
    return found;
}

} // namespace knapweed::soak
