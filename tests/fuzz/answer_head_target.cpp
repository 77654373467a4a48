#include "fuzz/fuzz_target.h"
#include "net/answer_head.h"

#include <boost/beast/http.hpp>

using namespace knapweed;
namespace http = boost::beast::http;

// Guards against a head that callers or this instance could read in another way than its server.
void fuzz::run_input(std::string_view input)
{
    http::response_parser<http::empty_body> parser;
    parser.skip(true);
    boost::system::error_code error;
    parser.put(boost::asio::const_buffer(input.data(), input.size()), error);
    if (error || !parser.is_header_done() || net::check_answer_head(parser.get()))
        return;
    const auto& head = parser.get();
    require(head.result_int() >= 100 && head.result_int() <= 599, "the status is one of HTTP");
    for (const auto& field : head) {
        require(!field.name_string().empty(), "a field has a name");
        for (const unsigned char c : field.name_string())
            require(c > ' ' && c < 0x7f && c != ':', "the name of a field is a token");
    }
    require(head.count(http::field::content_length) + head.count(http::field::transfer_encoding) <= 1,
            "the end of the answer is stated once");
}
