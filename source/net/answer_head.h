#pragma once

#include "net/asio_types.h"

#include <boost/beast/http/message.hpp>

namespace knapweed::net {

/** Checks the head of an answer beyond what the parser checks: the parser accepts each status of three
   digits, and an answer whose end can be read in two ways.
    @returns an error when the status is none that HTTP allows, a field name is no token, the head states more
    than one length, or it states a coding other than chunked or one beside a length. */
[[nodiscard]] error_code check_answer_head(const boost::beast::http::response_header<>& head);

/** @returns whether an error of reading an answer means that the bytes received are no answer. After any
   other error, the connection has ended or was closed. */
[[nodiscard]] bool is_malformed_answer(const error_code& error);

} // namespace knapweed::net
