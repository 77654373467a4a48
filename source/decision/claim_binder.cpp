#include "decision/claim_binder.h"

#include "decision/request_identity.h"
#include "decision/ticket.h"

#include <algorithm>

namespace knapweed::decision {
namespace {

constexpr const char* claims_table = "claims";

void refuse(core::exchange_id exchange, core::refusal_reason reason, claim_effects& effects)
{
    effects.answers.emplace_back(answer_refused{exchange, reason, {}, {}});
}

} // namespace

claim_binder::claim_binder(claim_options options, const core::clock& time,
                           std::function<core::call_id()> next_call_id)
    : options_(options), time_(time), next_call_id_(std::move(next_call_id))
{}

std::string claim_binder::row_key(const core::caller_id& caller, const std::string& key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    // A caller's name contains no '~', and hexadecimal digits make any key safe in a URL path.
    auto row = caller.str() + "~";
    for (const char c : key) {
        const auto byte = static_cast<unsigned char>(c);
        row += digits[byte >> 4U];
        row += digits[byte & 15U];
    }
    return row;
}

void claim_binder::start(const request_meta& request, std::string proposed_ticket, core::exchange_id exchange,
                         claim_effects& effects)
{
    if (pending_.size() >= options_.max_pending)
        return refuse(exchange, core::refusal_reason::claim_unavailable, effects);
    claim entry;
    entry.exchange = exchange;
    entry.request = request;
    entry.proposed_ticket = std::move(proposed_ticket);
    entry.request_deadline = time_.now() + request.timeout;
    entry.deadline = time_.now() + std::min(request.timeout, options_.time_limit);
    insert_row(std::move(entry), effects);
}

bool claim_binder::replied(const state::platform_reply& reply, claim_effects& effects)
{
    const auto found = pending_.find(reply.call);
    if (found == pending_.end())
        return false;
    auto entry = std::move(found->second);
    pending_.erase(found);
    if (entry.reading_row)
        handle_read_reply(std::move(entry), reply, effects);
    else
        handle_insert_reply(std::move(entry), reply.status, effects);
    return true;
}

void claim_binder::handle_insert_reply(claim entry, state::platform_status status, claim_effects& effects)
{
    switch (status) {
    case state::platform_status::ok: {
        auto ticket_text = entry.proposed_ticket;
        return bind(std::move(entry), std::move(ticket_text), effects);
    }
    case state::platform_status::conflict:
    case state::platform_status::timed_out:
        return read_row(std::move(entry), effects);
    default:
        return refuse(entry.exchange, core::refusal_reason::claim_unavailable, effects);
    }
}

void claim_binder::handle_read_reply(claim entry, const state::platform_reply& reply, claim_effects& effects)
{
    switch (reply.status) {
    case state::platform_status::ok:
        return bind_to_row(std::move(entry), reply.body, effects);
    case state::platform_status::not_found:
        // The insert whose reply was lost has not taken effect so far. A second insert succeeds or reports a
        // conflict.
        return insert_row(std::move(entry), effects);
    default:
        return refuse(entry.exchange, core::refusal_reason::claim_unavailable, effects);
    }
}

void claim_binder::bind_to_row(claim entry, const std::string& value, claim_effects& effects) const
{
    const auto space = value.find(' ');
    const auto ticket_text = value.substr(0, space);
    const auto hash = space == std::string::npos ? std::nullopt : core::parse_hex(value.substr(space + 1));
    if (!hash || !parse_ticket(ticket_text)) {
        // The row can't be parsed, and the request may have run under the ticket that it holds.
        effects.answers.emplace_back(answer_unknown{entry.exchange, core::unknown_reason::owner_lost});
        return;
    }
    if (*hash != entry.request.body_hash)
        return refuse(entry.exchange, core::refusal_reason::key_reused, effects);
    bind(std::move(entry), ticket_text, effects);
}

void claim_binder::bind(claim entry, std::string ticket_text, claim_effects& effects) const
{
    const auto remaining = entry.request_deadline - time_.now();
    entry.request.timeout =
        std::max(core::milliseconds{1}, std::chrono::floor<core::milliseconds>(remaining));
    entry.request.ticket = std::move(ticket_text);
    effects.bound.push_back({entry.exchange, std::move(entry.request)});
}

void claim_binder::insert_row(claim entry, claim_effects& effects)
{
    const auto key = row_key(entry.request.caller, entry.request.key);
    state::row_transaction transaction;
    transaction.conditions.push_back({claims_table, key, 0});
    transaction.writes.push_back(
        {claims_table, key, entry.proposed_ticket + " " + core::to_hex(entry.request.body_hash)});
    entry.reading_row = false;
    call(std::move(entry), std::move(transaction), effects);
}

void claim_binder::read_row(claim entry, claim_effects& effects)
{
    state::row_read read{claims_table, row_key(entry.request.caller, entry.request.key)};
    entry.reading_row = true;
    call(std::move(entry), std::move(read), effects);
}

void claim_binder::call(claim entry, state::platform_operation operation, claim_effects& effects)
{
    const auto remaining = entry.deadline - time_.now();
    if (entry.calls >= options_.max_calls || remaining <= core::duration::zero())
        return refuse(entry.exchange, core::refusal_reason::claim_unavailable, effects);
    ++entry.calls;
    const auto timeout = std::clamp(std::chrono::floor<core::milliseconds>(remaining), core::milliseconds{1},
                                    options_.call_timeout);
    const auto number = next_call_id_();
    effects.calls.push_back({number, timeout, std::move(operation)});
    pending_.emplace(number, std::move(entry));
}

void claim_binder::exchange_closed(core::exchange_id exchange)
{
    std::erase_if(pending_, [&](const auto& entry) { return entry.second.exchange == exchange; });
}

void claim_binder::expire(claim_effects& effects)
{
    const auto now = time_.now();
    std::erase_if(pending_, [&](const auto& entry) {
        if (entry.second.deadline > now)
            return false;
        refuse(entry.second.exchange, core::refusal_reason::claim_unavailable, effects);
        return true;
    });
}

} // namespace knapweed::decision
