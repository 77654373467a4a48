#include "stand_ins/load/look_up_cache.h"

#include "core/hash.h"

namespace knapweed::stand_ins {

namespace {

constexpr core::milliseconds look_up_timeout{1000};

} // namespace

std::optional<look_up> parse_look_up(const nlohmann::json& answer, core::time_point now)
{
    try {
        look_up result;
        for (const auto& endpoint : answer.at("endpoints")) {
            if (const auto address = parse_endpoint(endpoint.at("address").get<std::string>()))
                result.endpoints.push_back(*address);
        }
        result.ticket = answer.at("ticket").get<std::string>();
        result.expires = now + core::milliseconds{answer.at("ttl_ms").get<std::uint32_t>()};
        if (result.endpoints.empty())
            return std::nullopt;
        return result;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

look_up_cache::look_up_cache(http_client& client, const core::clock& clock,
                             std::vector<tcp::endpoint> entries)
    : client_(&client), clock_(&clock), entries_(std::move(entries))
{}

asio::awaitable<std::optional<look_up>> look_up_cache::find(std::string caller, std::string service)
{
    const auto cached = look_ups_.find({caller, service});
    if (cached != look_ups_.end() && clock_->now() < cached->second.expires)
        co_return cached->second;
    const std::uint64_t offset = core::hash_text(caller);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        http_request request{http::verb::get, "/v1/lookup?service=" + service, 11};
        request.set(http::field::host, "127.0.0.1");
        request.set("Knapweed-Caller", caller);
        const tcp::endpoint entry = entries_[(offset + i) % entries_.size()];
        const exchange_result answer = co_await client_->exchange(entry, std::move(request), look_up_timeout);
        if (answer.status != exchange_status::answered || answer.response.result() != http::status::ok)
            continue;
        auto found =
            parse_look_up(nlohmann::json::parse(answer.response.body(), nullptr, false), clock_->now());
        if (found) {
            look_ups_[{caller, service}] = *found;
            co_return found;
        }
    }
    co_return std::nullopt;
}

void look_up_cache::replace_ticket(const std::string& caller, const std::string& service,
                                   const std::string& ticket)
{
    const auto found = look_ups_.find({caller, service});
    if (found != look_ups_.end())
        found->second.ticket = ticket;
}

void look_up_cache::remove(const std::string& caller, const std::string& service)
{
    look_ups_.erase({caller, service});
}

} // namespace knapweed::stand_ins
