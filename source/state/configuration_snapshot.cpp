#include "state/configuration_snapshot.h"

#include "state/configuration_json.h"
#include "state/configuration_rows.h"

#include <charconv>

namespace knapweed::state {

std::string encode_snapshot(const wire::configuration& configuration)
{
    const auto json = to_json(configuration);
    return std::to_string(core::hash_text(json)) + "\n" + json;
}

std::optional<wire::configuration> decode_snapshot(std::string_view text)
{
    const auto end_of_line = text.find('\n');
    if (end_of_line == std::string_view::npos)
        return std::nullopt;
    std::uint64_t checksum = 0;
    const char* end = text.data() + end_of_line;
    const auto parsed = std::from_chars(text.data(), end, checksum);
    const auto json = text.substr(end_of_line + 1);
    if (parsed.ec != std::errc{} || parsed.ptr != end || checksum != core::hash_text(json))
        return std::nullopt;
    return parse_configuration(json);
}

configuration_snapshot::configuration_snapshot(configuration_store& store, lease& snapshot_lease,
                                               platform_client& client, const core::clock& time)
    : store_(store), lease_(snapshot_lease), client_(client), time_(time), next_write_(time.now())
{}

void configuration_snapshot::read()
{
    // If the call is rejected or fails, the configuration comes from the table or from peers.
    (void)client_.submit(object_read{snapshot_object}, [this](const platform_reply& reply) {
        if (reply.status != platform_status::ok)
            return;
        const auto configuration = decode_snapshot(reply.body);
        if (!configuration)
            return;
        stored_version_ = std::max(stored_version_, configuration->version());
        store_.offer(*configuration, configuration_source::snapshot);
    });
}

void configuration_snapshot::tick()
{
    lease_.tick();
    const auto fence = lease_.fence();
    if (!fence || write_in_progress_ || time_.now() < next_write_ || store_.version() <= stored_version_)
        return;
    next_write_ = time_.now() + write_interval;
    const auto configuration = store_.current();
    row_transaction version_row;
    version_row.conditions = {*fence};
    version_row.writes = {{snapshot_table, "configuration", std::to_string(configuration.version())}};
    write_in_progress_ =
        client_.submit(std::move(version_row), [this, configuration](const platform_reply& reply) {
            write_in_progress_ = false;
            if (reply.status == platform_status::ok && lease_.is_held())
                write_object(configuration);
            else
                next_write_ = time_.now() + core::milliseconds{1000};
        });
}

void configuration_snapshot::write_object(const wire::configuration& configuration)
{
    const auto version = configuration.version();
    write_in_progress_ = client_.submit(object_write{snapshot_object, encode_snapshot(configuration)},
                                        [this, version](const platform_reply& reply) {
                                            write_in_progress_ = false;
                                            if (reply.status == platform_status::ok)
                                                stored_version_ = std::max(stored_version_, version);
                                        });
}

} // namespace knapweed::state
