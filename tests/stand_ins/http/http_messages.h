#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweed::stand_ins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/** Largest body of a request or an answer. */
inline constexpr std::size_t body_limit_bytes = 64U << 20U;

/** Path and query of a request, percent-decoded. */
struct request_target {
    std::string path;
    std::map<std::string, std::string> query;
};

/** Splits the target of a request line into path and query and percent-decodes both. */
[[nodiscard]] request_target parse_target(std::string_view target);

/** @returns the value of a header, or an empty text when it is absent. */
template <typename Message>
[[nodiscard]] std::string header(const Message& message, std::string_view name)
{
    const auto found = message.find(beast::string_view{name.data(), name.size()});
    return found == message.end() ? std::string{} : std::string{found->value()};
}

/** Parses an unsigned number of at most 18 decimal digits. @returns nothing for any other text. */
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text);

[[nodiscard]] http_response make_response(http::status status, std::string_view content_type,
                                          std::string body);
[[nodiscard]] http_response make_json_response(http::status status, const nlohmann::json& body);

/** @returns a response with the JSON body `{"error": TEXT}`. */
[[nodiscard]] http_response make_error(http::status status, std::string_view error);

/** Parses `ip:port`. @returns nothing when the text is malformed. */
[[nodiscard]] std::optional<tcp::endpoint> parse_endpoint(std::string_view text);

/** Parses `ip:port` and `ip:first-last`, separated by commas.

    @returns nothing when any part is malformed.
*/
[[nodiscard]] std::optional<std::vector<tcp::endpoint>> parse_endpoints(std::string_view text);

} // namespace knapweed::stand_ins
