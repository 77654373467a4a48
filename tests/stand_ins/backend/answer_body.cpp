#include "stand_ins/backend/answer_body.h"

#include "core/hash.h"
#include "core/random_source.h"
#include "stand_ins/http/http_messages.h"

#include <sstream>

namespace knapweed::stand_ins {

namespace {

std::string make_filler(std::string_view key, std::size_t size)
{
    core::random_source random{core::hash_text(key)};
    std::string filler;
    filler.reserve(size + 8);
    while (filler.size() < size) {
        std::uint64_t bits = random.next();
        for (int i = 0; i < 8; ++i, bits >>= 8U)
            filler += static_cast<char>('a' + (bits & 15U));
    }
    filler.resize(size);
    return filler;
}

std::string make_header_line(std::string_view key, std::string_view filler)
{
    std::ostringstream line;
    line << "key=" << key << " bytes=" << filler.size() << " checksum=" << std::hex
         << core::hash_text(filler);
    return line.str();
}

body_verdict check_parts(std::string_view line, std::string_view filler, std::string_view key)
{
    if (line == make_header_line(key, filler))
        return body_verdict::intact;
    const std::string_view prefix = "key=";
    const std::size_t space = line.find(' ');
    if (!line.starts_with(prefix) || space == std::string_view::npos)
        return body_verdict::truncated;
    const bool key_matches = line.substr(prefix.size(), space - prefix.size()) == key;
    return key_matches ? body_verdict::truncated : body_verdict::crossed;
}

} // namespace

std::string make_answer_body(std::string_view key, std::size_t filler_bytes, answer_format format)
{
    std::string filler = make_filler(key, filler_bytes);
    std::string line = make_header_line(key, filler);
    if (format == answer_format::bytes)
        return line + '\n' + filler;
    return nlohmann::json{{"line", std::move(line)}, {"filler", std::move(filler)}}.dump();
}

body_verdict check_answer_body(std::string_view body, std::string_view key, answer_format format)
{
    if (format == answer_format::bytes) {
        const std::size_t end = body.find('\n');
        if (end == std::string_view::npos)
            return body_verdict::truncated;
        return check_parts(body.substr(0, end), body.substr(end + 1), key);
    }
    const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("line") || !parsed.contains("filler"))
        return body_verdict::truncated;
    if (!parsed["line"].is_string() || !parsed["filler"].is_string())
        return body_verdict::truncated;
    return check_parts(parsed["line"].get<std::string>(), parsed["filler"].get<std::string>(), key);
}

} // namespace knapweed::stand_ins
