#include "stand_ins/http/http_messages.h"

#include <charconv>

namespace knapweed::stand_ins {

namespace {

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char* digits = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
            decoded += static_cast<char>(value);
            i += 2;
        }
        else {
            decoded += text[i];
        }
    }
    return decoded;
}

/** Calls a function with each part of a text that is split at separators. */
template <typename Function>
void for_each_part(std::string_view text, char separator, Function function)
{
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        function(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
}

} // namespace

request_target parse_target(std::string_view target)
{
    request_target parsed;
    const std::size_t question = target.find('?');
    parsed.path = percent_decode(target.substr(0, question));
    if (question == std::string_view::npos)
        return parsed;
    for_each_part(target.substr(question + 1), '&', [&parsed](std::string_view part) {
        const std::size_t equals = part.find('=');
        const std::string_view value =
            equals == std::string_view::npos ? std::string_view{} : part.substr(equals + 1);
        parsed.query[percent_decode(part.substr(0, equals))] = percent_decode(value);
    });
    return parsed;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || text.size() > 18 || result.ec != std::errc{} || result.ptr != end)
        return std::nullopt;
    return value;
}

http_response make_response(http::status status, std::string_view content_type, std::string body)
{
    http_response response{status, 11};
    response.set(http::field::content_type, beast::string_view{content_type.data(), content_type.size()});
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_response make_json_response(http::status status, const nlohmann::json& body)
{
    return make_response(status, "application/json", body.dump() + "\n");
}

http_response make_error(http::status status, std::string_view error)
{
    return make_json_response(status, {{"error", error}});
}

std::optional<tcp::endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string{text.substr(0, colon)}, error);
    const auto port = parse_number(text.substr(colon + 1));
    if (error || !port || *port == 0 || *port > 65535)
        return std::nullopt;
    return tcp::endpoint{address, static_cast<std::uint16_t>(*port)};
}

std::optional<std::vector<tcp::endpoint>> parse_endpoints(std::string_view text)
{
    std::vector<tcp::endpoint> endpoints;
    bool valid = true;
    for_each_part(text, ',', [&](std::string_view part) {
        const std::size_t dash = part.rfind('-');
        const auto first = parse_endpoint(part.substr(0, dash));
        if (!first) {
            valid = false;
            return;
        }
        const auto last = dash == std::string_view::npos ? std::uint64_t{first->port()}
                                                         : parse_number(part.substr(dash + 1));
        if (!last || *last < first->port() || *last > 65535) {
            valid = false;
            return;
        }
        for (std::uint64_t port = first->port(); port <= *last; ++port)
            endpoints.emplace_back(first->address(), static_cast<std::uint16_t>(port));
    });
    if (!valid || endpoints.empty())
        return std::nullopt;
    return endpoints;
}

} // namespace knapweed::stand_ins
