#include "net/answer_head.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <cctype>

namespace knapweed::net {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;

bool is_token(beast::string_view text)
{
    constexpr std::string_view other_characters = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
               other_characters.find(c) != std::string_view::npos;
    });
}

} // namespace

error_code check_answer_head(const http::response_header<>& head)
{
    if (head.result_int() < first_status || head.result_int() > last_status)
        return http::error::bad_status;
    for (const auto& field : head) {
        if (!is_token(field.name_string()))
            return http::error::bad_field;
    }
    const auto lengths = head.count(http::field::content_length);
    const auto codings = head.count(http::field::transfer_encoding);
    if (lengths > 1)
        return http::error::multiple_content_length;
    if (codings == 0)
        return {};
    const bool is_chunked = codings == 1 && beast::iequals(head[http::field::transfer_encoding], "chunked");
    return lengths == 0 && is_chunked ? error_code() : http::error::bad_transfer_encoding;
}

bool is_malformed_answer(const error_code& error)
{
    return error.category() == make_error_code(http::error::bad_status).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace knapweed::net
