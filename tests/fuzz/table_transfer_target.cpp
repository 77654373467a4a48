#include "fuzz/allocation_meter.h"
#include "fuzz/fuzz_target.h"
#include "replication/replication.h"

#include "core/core.h"

using namespace knapweed;
using namespace knapweed::replication;
using steering::replicated_table;

namespace {

constexpr std::uint64_t base_version = 5;
constexpr std::uint64_t next_version = 6;
/** Memory that a transfer may take, freed memory included: values up to the limit, which grow in steps, and
   for each element of two bytes objects of the generated code and of ours. */
constexpr std::size_t fixed_bytes = 4 * row_archive::max_value_bytes;
constexpr std::size_t bytes_per_byte = 4096;

std::string large_value()
{
    constexpr unsigned routes = 100;
    std::string text;
    for (unsigned i = 0; i < routes; ++i)
        text += "route " + std::to_string(i * 7919) + " leads to service " + std::to_string(i % 13) + "; ";
    return text;
}

row_archive make_archive()
{
    row_archive archive(replicated_table::operators);
    archive.apply({{"config", large_value(), base_version, false}, {"evacuate/b", "{}", 3, false}}, true,
                  false);
    return archive;
}

std::string content_of(row_archive& archive)
{
    return serialise(archive.transfer_after(0, {}));
}

/** Applies a transfer as the gateway does. */
void receive(row_archive& archive, const table_transfer& transfer, std::size_t received_bytes)
{
    const auto before = content_of(archive);
    std::optional<steering::table_change> change;
    {
        const fuzz::allocation_meter meter;
        change = archive.unpack(transfer);
        fuzz::require(fuzz::allocation_meter::allocated_bytes() <=
                          fixed_bytes + bytes_per_byte * received_bytes,
                      "the memory that is taken is bounded by the bytes that arrived");
    }
    if (!change) {
        fuzz::require(content_of(archive) == before, "a refused transfer changes nothing");
        return;
    }
    fuzz::require(change->rows.size() == transfer.rows.size(), "all rows are unpacked");
    for (std::size_t i = 0; i < change->rows.size(); ++i) {
        const auto& row = change->rows[i];
        fuzz::require(row.removed || core::hash_text(row.value) == transfer.rows[i].hash,
                      "a row has the value that was sent");
    }
    archive.apply(transfer, *change);
    row_archive next(replicated_table::operators);
    const auto passed_on = next.unpack(archive.transfer_after(0, {}));
    fuzz::require(passed_on.has_value(), "what was received can be passed on");
}

/** Receives the input as the delta or the value of a row that is sound otherwise. */
void receive_as_content(const std::string& content)
{
    const auto delta = parse_delta(content);
    const auto value =
        delta ? apply_delta(large_value(), *delta, row_archive::max_value_bytes) : std::nullopt;
    for (const auto form : {row_form::whole, row_form::delta}) {
        const bool sound = form == row_form::whole || value.has_value();
        const auto hash = core::hash_text(form == row_form::whole ? content : value.value_or(""));
        auto archive = make_archive();
        table_transfer transfer;
        transfer.follows = base_version;
        transfer.newest = transfer.version = next_version;
        transfer.rows = {{"config", next_version, form, base_version, content.size(), hash, pack(content)}};
        fuzz::require(archive.unpack(transfer).has_value() == sound,
                      "a sound row is accepted, another is not");
        receive(archive, transfer, serialise(transfer).size());
    }
}

} // namespace

// Guards against a transfer that ends the process, takes its memory or is applied in part.
void fuzz::run_input(std::string_view input)
{
    if (const auto transfer = parse_transfer(input)) {
        auto archive = make_archive();
        receive(archive, *transfer, input.size());
    }
    constexpr std::size_t max_content_bytes = 4096;
    receive_as_content(std::string(input.substr(0, max_content_bytes)));
}
