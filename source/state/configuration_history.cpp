#include "state/configuration_history.h"

#include "state/configuration_json.h"
#include "state/configuration_rows.h"

namespace knapweed::state {

namespace {

/** Reads the row of one version and then those of the preceding versions. */
struct history_reader {
    platform_client* client = nullptr;
    std::uint64_t version = 0;
    std::size_t remaining = 0;
    history_result result;
    std::function<void(const history_result&)> done;

    static void read_next(history_reader reader)
    {
        if (reader.remaining == 0 || reader.version == 0) {
            reader.result.complete = true;
            reader.done(reader.result);
            return;
        }
        auto& client = *reader.client;
        const auto key = std::to_string(reader.version);
        const auto done = reader.done;
        const auto partial_result = reader.result;
        const bool accepted = client.submit(
            row_read{history_table, key},
            [reader = std::move(reader)](const platform_reply& reply) { on_row(reader, reply); });
        if (!accepted)
            done(partial_result);
    }

    static void on_row(history_reader reader, const platform_reply& reply)
    {
        if (reply.status != platform_status::ok && reply.status != platform_status::not_found) {
            reader.done(reader.result);
            return;
        }
        const auto row = reply.status == platform_status::ok ? parse_configuration(reply.body) : std::nullopt;
        if (row)
            reader.result.entries.push_back({reader.version, row->change()});
        --reader.version;
        --reader.remaining;
        read_next(std::move(reader));
    }
};

} // namespace

void read_configuration_history(platform_client& client, std::uint64_t newest, std::size_t count,
                                std::function<void(const history_result&)> done)
{
    history_reader::read_next({&client, newest, count, {}, std::move(done)});
}

} // namespace knapweed::state
