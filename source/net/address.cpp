#include "net/address.h"

#include <charconv>
#include <string>

namespace knapweed::net {

std::optional<tcp::endpoint> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto* const end = port_text.data() + port_text.size();
    const auto [parsed_to, failure] = std::from_chars(port_text.data(), end, port);
    if (failure != std::errc{} || parsed_to != end)
        return std::nullopt;
    error_code error;
    const auto ip = asio::ip::make_address(std::string(host), error);
    if (error)
        return std::nullopt;
    return tcp::endpoint(ip, port);
}

} // namespace knapweed::net
