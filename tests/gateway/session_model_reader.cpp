#include "session_model_reader.h"

#include <charconv>

namespace knapweed::test {

namespace {

/** @returns the value of a field whose name is spelled as the gateway and the servers of the model do. */
std::optional<std::string> field_of(const std::string& head, const std::string& name)
{
    const auto begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos)
        return std::nullopt;
    const auto value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

std::optional<std::size_t> parse_size(std::string_view text, int base)
{
    std::size_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value, base);
    return error == std::errc{} && parsed == end ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<model_answer> session_model_reader::next(const std::string& method)
{
    constexpr unsigned first_final_status = 200;
    constexpr std::string_view version = "HTTP/1.1 ";
    for (;;) {
        const auto head_end = unread_.find("\r\n\r\n");
        if (malformed_ || head_end == std::string::npos)
            return std::nullopt;
        const auto head = unread_.substr(0, head_end + 2);
        const auto status = parse_size(std::string_view(head).substr(0, 12).substr(version.size()), 10);
        malformed_ = !head.starts_with(version) || !status;
        if (malformed_)
            return std::nullopt;
        if (*status < first_final_status) {
            unread_.erase(0, head_end + 4);
            continue;
        }
        model_answer answer;
        answer.status = static_cast<unsigned>(*status);
        answer.id = field_of(head, "X-Id").value_or("");
        answer.has_signature = field_of(head, "X-Seal").has_value();
        answer.closes = field_of(head, "Connection") == "close";
        const bool has_body = method != "HEAD" && answer.status != 204 && answer.status != 304;
        const auto end = has_body ? read_body(head_end + 4, head, answer) : std::optional(head_end + 4);
        if (end)
            unread_.erase(0, *end);
        return end ? std::optional(answer) : std::nullopt;
    }
}

std::optional<std::size_t> session_model_reader::read_body(std::size_t begin, const std::string& head,
                                                           model_answer& answer)
{
    if (field_of(head, "Transfer-Encoding") == "chunked")
        return read_chunks(begin, answer);
    const auto length = parse_size(field_of(head, "Content-Length").value_or(""), 10);
    malformed_ = !length;
    if (!length || unread_.size() - begin < *length)
        return std::nullopt;
    answer.declared_length = *length;
    answer.body = unread_.substr(begin, *length);
    return begin + *length;
}

std::optional<std::size_t> session_model_reader::read_chunks(std::size_t begin, model_answer& answer)
{
    for (;;) {
        const auto line_end = unread_.find("\r\n", begin);
        if (line_end == std::string::npos)
            return std::nullopt;
        const auto size = parse_size(std::string_view(unread_).substr(begin, line_end - begin), 16);
        malformed_ = !size;
        if (!size || unread_.size() - line_end < *size + 4)
            return std::nullopt;
        answer.body.append(unread_, line_end + 2, *size);
        begin = line_end + 2 + *size + 2;
        if (*size == 0)
            return begin;
    }
}

} // namespace knapweed::test
