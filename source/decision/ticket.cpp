#include "decision/ticket.h"

#include <algorithm>
#include <array>

namespace knapweed::decision {
namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned char format_version = 1;
constexpr std::size_t number_bytes = 8;

void append_number(std::string& bytes, std::uint64_t value)
{
    for (std::size_t i = 0; i < number_bytes; ++i)
        bytes.push_back(static_cast<char>(value >> (8 * i)));
}

void append_name(std::string& bytes, const std::string& name)
{
    bytes.push_back(static_cast<char>(name.size()));
    bytes += name;
}

/** Reads the fields of a ticket in order. `valid` becomes false at the first field that exceeds the remaining
    bytes and then stays false. */
struct field_reader {
    std::string_view rest;
    bool valid = true;

    std::string_view read_bytes(std::size_t size)
    {
        if (size > rest.size()) {
            valid = false;
            return {};
        }
        const auto field = rest.substr(0, size);
        rest.remove_prefix(size);
        return field;
    }

    std::uint64_t number()
    {
        std::uint64_t value = 0;
        const auto field = read_bytes(number_bytes);
        for (std::size_t i = 0; i < field.size(); ++i)
            value |= std::uint64_t{static_cast<unsigned char>(field[i])} << (8 * i);
        return value;
    }

    unsigned char byte()
    {
        const auto field = read_bytes(1);
        return field.empty() ? 0 : static_cast<unsigned char>(field[0]);
    }

    std::string_view name()
    {
        const std::size_t size = byte();
        valid = valid && size <= max_instance_name_bytes;
        return valid ? read_bytes(size) : std::string_view{};
    }
};

std::string to_base64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() * 4 + 2) / 3);
    std::uint32_t buffer = 0;
    unsigned bits = 0;
    for (const char c : bytes) {
        buffer = buffer << 8U | static_cast<unsigned char>(c);
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            text.push_back(alphabet[buffer >> bits & 63U]);
        }
    }
    if (bits > 0)
        text.push_back(alphabet[buffer << (6 - bits) & 63U]);
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t buffer = 0;
    unsigned bits = 0;
    for (const char c : text) {
        const auto digit = alphabet.find(c);
        if (digit == std::string_view::npos)
            return std::nullopt;
        buffer = buffer << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>(buffer >> bits));
        }
    }
    const bool is_complete = bits < 6 && (buffer & ((1U << bits) - 1)) == 0;
    return is_complete ? std::optional{std::move(bytes)} : std::nullopt;
}

bool is_consistent(const ticket& value)
{
    return !value.owner.empty() && value.owner.str().size() <= max_instance_name_bytes &&
           value.witness.str().size() <= max_instance_name_bytes && value.owner != value.witness &&
           (value.has_witness() || value.witness_incarnation.value == 0) &&
           value.expiry.time_since_epoch().count() >= 0 && value.expiry <= latest_ticket_expiry;
}

} // namespace

std::string encode_ticket(const ticket& value)
{
    if (!is_consistent(value))
        return {};
    std::string bytes;
    bytes.push_back(static_cast<char>(format_version));
    append_name(bytes, value.owner.str());
    append_number(bytes, value.owner_incarnation.value);
    append_name(bytes, value.witness.str());
    append_number(bytes, value.witness_incarnation.value);
    append_number(bytes, value.serial);
    append_number(bytes, static_cast<std::uint64_t>(value.expiry.time_since_epoch().count()));
    append_number(bytes, core::hash_text(bytes));
    return to_base64(bytes);
}

std::optional<ticket> parse_ticket(std::string_view text)
{
    if (text.empty() || text.size() > max_ticket_text_bytes)
        return std::nullopt;
    const auto bytes = from_base64(text);
    if (!bytes || bytes->size() < number_bytes)
        return std::nullopt;
    const auto body = std::string_view{*bytes}.substr(0, bytes->size() - number_bytes);
    field_reader checksum{std::string_view{*bytes}.substr(body.size())};
    if (checksum.number() != core::hash_text(body))
        return std::nullopt;

    field_reader reader{body};
    if (reader.byte() != format_version)
        return std::nullopt;
    ticket value;
    value.owner = core::instance_id{reader.name()};
    value.owner_incarnation = {reader.number()};
    value.witness = core::instance_id{reader.name()};
    value.witness_incarnation = {reader.number()};
    value.serial = reader.number();
    const auto expiry = reader.number();
    if (!reader.valid || !reader.rest.empty() ||
        expiry > static_cast<std::uint64_t>(latest_ticket_expiry.time_since_epoch().count()))
        return std::nullopt;
    value.expiry = unix_time{core::milliseconds{static_cast<std::int64_t>(expiry)}};
    return is_consistent(value) ? std::optional{std::move(value)} : std::nullopt;
}

} // namespace knapweed::decision
