// Writes the binary seeds: DIRECTORY/peer_datagrams and DIRECTORY/table_transfer.
#include "core/core.h"
#include "gateway/status_codec.h"
#include "replication/replication.h"

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace knapweed;

namespace {

void write(const std::filesystem::path& directory, const char* name, const std::string& bytes)
{
    std::filesystem::create_directories(directory);
    std::ofstream(directory / name, std::ios::binary) << bytes;
}

/** @returns the datagram with its length before it, as the target reads it. */
std::string framed(const std::string& datagram)
{
    constexpr std::size_t byte_values = 256;
    return std::string{static_cast<char>(datagram.size() / byte_values),
                       static_cast<char>(datagram.size() % byte_values)} +
           datagram;
}

steering::instance_status make_status()
{
    steering::instance_status status;
    status.instance = core::instance_id{"i1"};
    status.location = {core::data_centre_id{"a"}, core::region_id{"r"}};
    status.caller_address = "127.0.0.1:1";
    status.peer_address = "127.0.0.1:2";
    status.incarnation = {5};
    status.ready = true;
    status.demand[core::service_id{"orders"}] = 12.5;
    status.region_sum = {7, status.demand};
    return status;
}

void write_datagrams(const std::filesystem::path& directory)
{
    const auto status = framed(gateway::encode_datagram(make_status()));
    const steering::instance_load load{
        core::instance_id{"i1"}, {5}, 7, {{123, 2}, {456, 1}}, core::region_id{"r"}};
    steering::table_change change;
    change.rows = {{"gone", "", 7, true}, {"new", "value", 8, false}};
    const std::vector<steering::crash_report> crashes{
        {core::fingerprint{77}, {{9, core::milliseconds(300), core::milliseconds(100)}}, {}, true}};
    const std::vector<steering::limit_report> limits{{3, 4, 12.5, core::milliseconds(20)},
                                                     {5, 6, std::nullopt, core::milliseconds(9)}};
    const std::vector<steering::leaving_report> leaving{{3, 4}, {5, 6}};
    replication::table_transfer transfer;
    transfer.rows = {{"evacuate/b", 3, replication::row_form::unchanged, 0, 0, core::hash_text("{}"), {}}};
    write(directory, "status", status);
    write(directory, "load", framed(gateway::encode_datagram(load)));
    write(directory, "change", framed(gateway::encode_datagram(change)));
    write(directory, "crashes", framed(gateway::encode_datagram(crashes)));
    write(directory, "limits", framed(gateway::encode_datagram(limits)));
    write(directory, "leaving", framed(gateway::encode_datagram(leaving)));
    write(directory, "transfer", framed(gateway::encode_datagram(transfer)));
    write(directory, "sequence",
          status + framed(gateway::encode_datagram(load)) + framed(gateway::encode_datagram(crashes)) +
              framed(gateway::encode_datagram(limits)) + framed(gateway::encode_datagram(leaving)) + status);
}

/** The value that the target's archive has. */
std::string large_value(unsigned routes)
{
    std::string text;
    for (unsigned i = 0; i < routes; ++i)
        text += "route " + std::to_string(i * 7919) + " leads to service " + std::to_string(i % 13) + "; ";
    return text;
}

void write_transfers(const std::filesystem::path& directory)
{
    using namespace replication;
    const steering::table_row small{"evacuate/b", "{}", 3, false};
    row_archive archive(steering::replicated_table::operators);
    archive.apply({{"config", large_value(100), 5, false}, small}, true, false);
    steering::table_change as_of;
    as_of.newest = as_of.version = 6;
    as_of.follows = 5;
    write(directory, "whole", serialise(archive.transfer_after(0, as_of)));
    write(directory, "unchanged", serialise(archive.transfer_after(5, as_of)));
    as_of.rows = {{"config", large_value(101), 6, false}};
    archive.apply(as_of.rows, false, true);
    write(directory, "delta", serialise(archive.transfer_after(5, as_of)));
    write(directory, "delta_of_row", serialise(archive.transfer_of(as_of)));
    as_of.rows = {{"evacuate/b", "", 7, true}};
    archive.apply(as_of.rows, false, true);
    write(directory, "removal", serialise(archive.transfer_of(as_of)));
    write(directory, "delta_text", serialise(make_delta(large_value(100), large_value(101))));
    write(directory, "copies", serialise(byte_delta{{"x", 0, 2000}, {"y", 10, 2000}, {"", 0, 3000}}));
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 2) {
        std::cerr << "usage: " << arguments[0] << " DIRECTORY\n";
        return 2;
    }
    const std::filesystem::path directory(arguments[1]);
    write_datagrams(directory / "peer_datagrams");
    write_transfers(directory / "table_transfer");
    return 0;
}
