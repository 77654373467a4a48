#include "session_model_answers.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace knapweed::test {

using ending = session_model_reply::ending;

namespace {

constexpr std::string_view separator = ".";

/** @returns a body whose every part shows to which attempt it belongs. */
std::string make_body(const std::string& mark, std::size_t bytes)
{
    std::string body;
    body.reserve(bytes + mark.size() + 8);
    while (body.size() < bytes)
        body.append(mark).append(separator).append(std::to_string(body.size())).append(separator);
    body.resize(bytes);
    return body;
}

std::string hexadecimal(std::size_t value)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%zx\r\n", value);
    return text.data();
}

} // namespace

drawn_answer session_model_answers::draw(const model_request& request, std::size_t attempt, bool large)
{
    if (chance(12))
        return draw_refusal(request);
    if (chance(40))
        return draw_garbage();
    auto answer = draw_whole(request, attempt, large);
    const auto whole = answer.reply.bytes;
    std::size_t interim_bytes = 0;
    constexpr std::array<std::string_view, 3> interim{"HTTP/1.1 100 Continue\r\n\r\n",
                                                      "HTTP/1.1 102 Processing\r\n\r\n",
                                                      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"};
    for (std::size_t i = chance(6) ? 1 + random_.below(2) : 0; i > 0; --i) {
        const auto text = interim.at(random_.below(interim.size()));
        answer.reply.bytes.insert(0, text);
        interim_bytes += text.size();
        answer.description += ", interim";
    }
    if (chance(large ? 3 : 6)) {
        break_off(answer, interim_bytes);
    }
    else if (answer.reply.then == ending::keep && chance(10)) {
        answer.reply.before_next = whole;
        answer.description += ", copied late";
    }
    else if (answer.reply.then == ending::keep && chance(30)) {
        answer.reply.bytes += whole;
        answer.description += ", copied at once";
    }
    return answer;
}

drawn_answer session_model_answers::draw_refusal(const model_request& request)
{
    drawn_answer answer;
    const bool misdirected = chance(3);
    const std::string body = request.method == "HEAD" || chance(2) ? "" : "busy";
    answer.reply.bytes =
        std::string("HTTP/1.1 ") + (misdirected ? "421 Misdirected" : "503 Busy\r\nX-Not-Run: 1") +
        "\r\nX-Id: " + request.id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    answer.attempt = {false, false, false, 0, {}};
    answer.description = misdirected ? "421" : "refusal";
    if (chance(3)) {
        answer.reply.before_next = answer.reply.bytes;
        answer.description += ", copied late";
    }
    return answer;
}

drawn_answer session_model_answers::draw_garbage()
{
    drawn_answer answer;
    answer.reply.bytes = make_body("garbage\r\n", 1 + random_.below(3000));
    answer.reply.then = chance(2) ? ending::close : ending::reset;
    answer.attempt = {true, false, false, 0, {}};
    answer.description = "garbage";
    return answer;
}

std::size_t session_model_answers::draw_size(bool large)
{
    switch (random_.below(large ? 5 : 10)) {
    case 0:
        return 0;
    case 1:
        return random_.below(40000);
    case 2:
    case 3:
    case 4:
        return large ? 30000 + random_.below(270000) : random_.below(200);
    case 5:
        return 30000 + random_.below(270000);
    default:
        return random_.below(3000);
    }
}

drawn_answer session_model_answers::draw_whole(const model_request& request, std::size_t attempt, bool large)
{
    drawn_answer answer;
    answer.attempt.body = make_body(request.id + "/" + std::to_string(attempt), draw_size(large));
    answer.attempt.status = 200;
    if (chance(20)) {
        answer.attempt.status = 500;
    }
    else if (chance(20)) {
        answer.attempt.status = 204;
        answer.attempt.body.clear();
    }
    const auto head = "HTTP/1.1 " + std::to_string(answer.attempt.status) + " Given\r\nX-Id: " + request.id +
                      "\r\nX-Seal: sealed\r\n";
    answer.description = std::to_string(answer.attempt.status) + " with " +
                         std::to_string(answer.attempt.body.size()) + " bytes";
    add_body(answer, head, request.method == "HEAD");
    return answer;
}

void session_model_answers::add_body(drawn_answer& answer, const std::string& head, bool is_head)
{
    auto& bytes = answer.reply.bytes;
    const auto& body = answer.attempt.body;
    const std::string shown = is_head ? std::string() : body;
    const bool closes = chance(10);
    if (answer.attempt.status == 204) {
        bytes = head + "\r\n";
        return;
    }
    switch (random_.below(is_head ? 2 : 4)) {
    case 0:
        bytes = head + "Transfer-Encoding: chunked\r\n" + (closes ? "Connection: close\r\n" : "") + "\r\n";
        for (std::size_t begin = 0; begin < shown.size();) {
            const auto size = std::min(shown.size() - begin, 1 + random_.below(20000));
            bytes += hexadecimal(size) + shown.substr(begin, size) + "\r\n";
            begin += size;
        }
        if (!is_head)
            bytes += "0\r\n\r\n";
        answer.description += " in chunks";
        break;
    case 1:
        if (!is_head) {
            bytes = head + "Connection: close\r\n\r\n" + shown;
            answer.reply.then = ending::close;
            answer.description += " until close";
            return;
        }
        [[fallthrough]];
    default:
        bytes = head + "Content-Length: " + std::to_string(body.size()) + "\r\n" +
                (closes ? "Connection: close\r\n" : "") + "\r\n" + shown;
    }
    if (closes) {
        answer.reply.then = ending::close;
        answer.description += ", closes";
    }
}

void session_model_answers::break_off(drawn_answer& answer, std::size_t interim_bytes)
{
    auto& bytes = answer.reply.bytes;
    const bool in_head = chance(4);
    const auto head_end = bytes.find("\r\n\r\n", interim_bytes) + 4;
    const bool without_length = bytes.find("Content-Length", interim_bytes) > head_end &&
                                bytes.find("chunked", interim_bytes) > head_end;
    const auto begin = in_head || head_end == bytes.size() ? 0 : head_end;
    const auto end = begin == 0 ? head_end : bytes.size();
    bytes.resize(begin + random_.below(end - begin));
    answer.reply.then = without_length || chance(2) ? ending::reset : ending::close;
    answer.attempt.whole = false;
    answer.attempt.sound = false;
    answer.description += ", broken off at " + std::to_string(bytes.size());
}

} // namespace knapweed::test
