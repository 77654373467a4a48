#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace knapweed::core {

/** A strongly typed name: names with different tags do not convert to each other. */
template <typename Tag>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value) : value_(std::move(value)) {}
    explicit identifier(std::string_view value) : value_(value) {}
    explicit identifier(const char* value) : value_(value) {}

    [[nodiscard]] const std::string& str() const noexcept { return value_; }
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    auto operator<=>(const identifier&) const = default;

private:
    std::string value_;
};

using instance_id = identifier<struct instance_tag>;
using region_id = identifier<struct region_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using service_id = identifier<struct service_tag>;
using server_id = identifier<struct server_tag>;
using caller_id = identifier<struct caller_tag>;
using account_id = identifier<struct account_tag>;

/** A strongly typed number: numbers with different tags do not convert to each other. */
template <typename Tag>
struct number {
    std::uint64_t value = 0;

    auto operator<=>(const number&) const = default;
};

/** One run of an instance's process: its start time in microseconds, made unique by random low bits. */
using incarnation = number<struct incarnation_tag>;
/** One HTTP request that the network layer holds open; unique in an incarnation. */
using exchange_id = number<struct exchange_tag>;
/** One attempt to have an exchange answered by a server or peer; unique in an incarnation. */
using dispatch_id = number<struct dispatch_tag>;
/** One call to the platform; unique in an incarnation. */
using call_id = number<struct call_tag>;
/** Hash by which a request is recognised when it comes again. */
using fingerprint = number<struct fingerprint_tag>;

/** The servers of one service in one data centre. */
struct pool_id {
    service_id service;
    data_centre_id data_centre;

    auto operator<=>(const pool_id&) const = default;
};

} // namespace knapweed::core

template <typename Tag>
struct std::hash<knapweed::core::identifier<Tag>> {
    std::size_t operator()(const knapweed::core::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <typename Tag>
struct std::hash<knapweed::core::number<Tag>> {
    std::size_t operator()(knapweed::core::number<Tag> id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

template <>
struct std::hash<knapweed::core::pool_id> {
    std::size_t operator()(const knapweed::core::pool_id& id) const noexcept
    {
        const std::hash<std::string> hash_of;
        return hash_of(id.service.str()) * 31 + hash_of(id.data_centre.str());
    }
};
