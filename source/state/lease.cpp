#include "state/lease.h"

#include "state/configuration_rows.h"

#include <nlohmann/json.hpp>

namespace knapweed::state {

namespace {

/** Renewals in one duration; two may be lost before the lease expires. */
constexpr int renewals_per_duration = 3;

} // namespace

std::string to_json(const lease_row& row)
{
    const nlohmann::json json{{"holder", row.holder.str()},
                              {"incarnation", row.incarnation.value},
                              {"duration_ms", row.duration_ms},
                              {"expires_unix_ms", row.expires_unix_ms}};
    return json.dump();
}

std::optional<lease_row> parse_lease_row(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto number = [&json](const char* key) {
        return json.contains(key) && json[key].is_number_unsigned();
    };
    const bool is_complete = json.is_object() && json.contains("holder") && json["holder"].is_string() &&
                             number("incarnation") && number("duration_ms") && number("expires_unix_ms");
    if (!is_complete)
        return std::nullopt;
    lease_row row;
    row.holder = core::instance_id{json["holder"].get<std::string>()};
    row.incarnation = {json["incarnation"].get<std::uint64_t>()};
    row.duration_ms = json["duration_ms"].get<std::uint64_t>();
    row.expires_unix_ms = json["expires_unix_ms"].get<std::uint64_t>();
    return row;
}

lease::lease(lease_options options, platform_client& client, const core::clock& time)
    : options_(std::move(options)), client_(client), time_(time), next_step_(time.now())
{}

void lease::release()
{
    requested_ = false;
    const auto condition = fence();
    held_until_.reset();
    if (!condition)
        return;
    row_transaction transaction;
    transaction.conditions = {*condition};
    transaction.writes = {{lease_table, options_.name, std::nullopt}};
    // If this call is lost the row remains, and another instance takes the lease over after its duration.
    (void)client_.submit(std::move(transaction), [](const platform_reply&) {});
}

void lease::tick()
{
    if (held_until_ && !is_held())
        held_until_.reset();
    if (!requested_ || call_in_progress_ || time_.now() < next_step_)
        return;
    next_step_ = time_.now() + options_.duration / renewals_per_duration;
    if (held_until_)
        write_row();
    else
        read_row();
}

std::optional<row_condition> lease::fence() const
{
    if (!is_held())
        return std::nullopt;
    return row_condition{lease_table, options_.name, row_version_};
}

void lease::submit(platform_operation operation, platform_client::completion done)
{
    call_in_progress_ =
        client_.submit(std::move(operation), [this, done = std::move(done)](const platform_reply& reply) {
            call_in_progress_ = false;
            done(reply);
        });
}

void lease::read_row()
{
    submit(row_read{lease_table, options_.name}, [this](const platform_reply& reply) { on_row(reply); });
}

void lease::on_row(const platform_reply& reply)
{
    if (!requested_)
        return;
    if (reply.status == platform_status::not_found) {
        row_version_ = 0;
        write_row();
        return;
    }
    if (reply.status != platform_status::ok)
        return;
    if (observed_version_ != reply.version) {
        observed_version_ = reply.version;
        observed_since_ = time_.now();
    }
    const auto row = parse_lease_row(reply.body);
    if (row && !can_take_over(*row))
        return;
    row_version_ = reply.version;
    write_row();
}

void lease::write_row()
{
    const auto expires = time_.wall_now() + options_.duration;
    const auto unix_ms = std::chrono::duration_cast<core::milliseconds>(expires.time_since_epoch()).count();
    const lease_row row{options_.holder, options_.incarnation,
                        static_cast<std::uint64_t>(options_.duration.count()),
                        static_cast<std::uint64_t>(unix_ms)};
    row_transaction transaction;
    transaction.conditions = {{lease_table, options_.name, row_version_}};
    transaction.writes = {{lease_table, options_.name, to_json(row)}};
    submit(std::move(transaction),
           [this, sent = time_.now()](const platform_reply& reply) { on_written(reply, sent); });
}

void lease::on_written(const platform_reply& reply, core::time_point sent)
{
    if (reply.status == platform_status::ok) {
        row_version_ = reply.version;
        if (requested_)
            held_until_ = sent + options_.duration;
        return;
    }
    if (reply.status == platform_status::conflict)
        held_until_.reset();
    // After a lost answer or a conflict, the row shows whether this incarnation holds the lease; see
    // `can_take_over`.
    if (requested_ &&
        (reply.status == platform_status::conflict || reply.status == platform_status::timed_out))
        read_row();
}

bool lease::can_take_over(const lease_row& row) const
{
    // This incarnation wrote the row, although the answer may have been lost; nobody else has taken over.
    if (row.holder == options_.holder && row.incarnation == options_.incarnation)
        return true;
    const auto unchanged = time_.now() - observed_since_;
    return unchanged > core::milliseconds{row.duration_ms} * 3 / 2;
}

} // namespace knapweed::state
