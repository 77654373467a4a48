#include "fuzz/message_mutator.h"
#include "replication/replication.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::replication;
using steering::replicated_table;
using steering::table_change;

namespace {

std::string large_value(unsigned routes)
{
    std::string text;
    for (unsigned i = 0; i < routes; ++i)
        text += "route " + std::to_string(i * 7919) + " leads to service " + std::to_string(i % 13) + "; ";
    return text;
}

table_change change_of(std::uint64_t version, const std::string& value)
{
    table_change change;
    change.follows = version - 1;
    change.newest = version;
    change.version = version;
    change.era = 1;
    change.rows = {{"config", value, version, false}};
    return change;
}

/** An archive with a large row and a small one. */
row_archive make_archive()
{
    row_archive archive(replicated_table::operators);
    archive.apply({{"config", large_value(300), 5, false}, {"evacuate/b", "{}", 3, false}}, true, false);
    return archive;
}

std::size_t bytes_of(const table_transfer& transfer)
{
    return serialise(transfer).size();
}

} // namespace

// Guards against a copy that lacks a row, keeps one that is gone or has another value.
TEST_CASE("an instance takes a whole copy, what has changed, or what is new in between")
{
    auto holder = make_archive();
    row_archive taker(replicated_table::operators);
    auto as_of = change_of(5, "");
    const auto whole = holder.transfer_after(0, as_of);
    const auto received = taker.unpack(whole);
    REQUIRE(received);
    REQUIRE(received->rows.size() == 2);
    REQUIRE(received->rows.front().value == large_value(300));
    taker.apply(whole, *received);

    const auto changed = change_of(6, large_value(301));
    holder.apply(changed.rows, false, true);
    as_of = change_of(6, "");
    const auto update = holder.transfer_after(5, as_of);
    REQUIRE(bytes_of(update) < bytes_of(whole) / 4);
    const auto updated = taker.unpack(update);
    REQUIRE(updated);
    REQUIRE(updated->rows.size() == 2);
    REQUIRE(updated->rows.front().value == large_value(301));
    taker.apply(update, *updated);
    // What was received as a delta is passed on as one.
    REQUIRE(bytes_of(taker.transfer_after(5, as_of)) == bytes_of(update));

    auto removed = change_of(7, "");
    removed.rows = {{"evacuate/b", "", 7, true}};
    holder.apply(removed.rows, false, true);
    const auto rest = taker.unpack(holder.transfer_after(6, change_of(7, "")));
    REQUIRE(rest);
    REQUIRE(rest->rows.size() == 1);
}

// Guards against a value that is made from another version than the one it was compared with.
TEST_CASE("a transfer that is based on another row than the receiver's is refused")
{
    auto holder = make_archive();
    auto taker = make_archive();
    taker.apply(change_of(6, large_value(200)).rows, false, false);
    holder.apply(change_of(7, large_value(301)).rows, false, true);
    REQUIRE_FALSE(taker.unpack(holder.transfer_of(change_of(7, large_value(301)))));
    REQUIRE(taker.unpack(holder.transfer_after(0, change_of(7, ""))));

    // The same version, but not the same value: the store has come back from a copy.
    row_archive other(replicated_table::operators);
    other.apply({{"config", large_value(100), 5, false}}, true, false);
    REQUIRE_FALSE(other.unpack(holder.transfer_of(change_of(7, large_value(301)))));
    REQUIRE_FALSE(other.unpack(holder.transfer_after(5, change_of(7, ""))));
}

// Guards against a small transfer that takes the memory of the instance that unpacks it.
TEST_CASE("a transfer whose rows exceed the limit together is refused")
{
    constexpr std::size_t large = 1U << 20U;
    constexpr std::size_t most_rows = row_archive::max_value_bytes / large;
    const std::string value(large, 'x');
    row_archive archive(replicated_table::operators);
    archive.apply({{"config", value, 5, false}}, true, false);
    table_transfer transfer;
    const transferred_row unchanged{"config", 5, row_form::unchanged, 0, 0, core::hash_text(value), {}};
    transfer.rows.assign(most_rows, unchanged);
    REQUIRE(archive.unpack(transfer));
    transfer.rows.push_back(unchanged);
    REQUIRE_FALSE(archive.unpack(transfer));

    const auto packed = pack(value);
    transfer.rows.clear();
    for (std::size_t i = 0; i < most_rows; ++i)
        transfer.rows.push_back(
            {std::to_string(i), 5, row_form::whole, 0, value.size(), core::hash_text(value), packed});
    REQUIRE(archive.unpack(transfer));
    transfer.rows.push_back({"more", 5, row_form::whole, 0, 1, core::hash_text("x"), pack("x")});
    REQUIRE_FALSE(archive.unpack(transfer));
}

// Guards against a damaged transfer after which no other instance can take its copy from the receiver.
TEST_CASE("a row without a version is refused")
{
    table_transfer transfer;
    transfer.rows = {{"config", 0, row_form::whole, 0, 1, core::hash_text("x"), pack("x")}};
    REQUIRE_FALSE(make_archive().unpack(transfer));
    transfer.rows.front().version = 1;
    REQUIRE(make_archive().unpack(transfer));
}

// Guards against a row that is passed on with the content of another one of the same name.
TEST_CASE("of a row that a transfer names twice the content that was stored is passed on")
{
    auto archive = make_archive();
    table_transfer transfer;
    const auto delta = serialise({{"", 0, 2000}});
    const auto value = large_value(300).substr(0, 2000);
    transfer.rows = {{"config", 6, row_form::whole, 0, 1, core::hash_text("x"), pack("x")},
                     {"config", 6, row_form::delta, 5, delta.size(), core::hash_text(value), pack(delta)}};
    const auto change = archive.unpack(transfer);
    REQUIRE(change);
    archive.apply(transfer, *change);
    row_archive next(replicated_table::operators);
    const auto received = next.unpack(archive.transfer_after(0, change_of(6, "")));
    REQUIRE(received);
    REQUIRE(received->rows.front().value == value);
}

// Guards against the memory that a delta of millions of empty parts takes.
TEST_CASE("a delta of more bytes than any useful one is refused, and none is sent")
{
    auto archive = make_archive();
    std::string parts;
    for (std::size_t i = 0; i <= row_archive::max_delta_bytes / 2; ++i)
        parts += std::string_view("\n\0", 2);
    table_transfer transfer;
    transfer.rows = {{"config", 6, row_form::delta, 5, parts.size(), core::hash_text(""), pack(parts)}};
    REQUIRE_FALSE(archive.unpack(transfer));
    transfer.rows = {{"config", 6, row_form::delta, 5, 2, core::hash_text(""), pack(parts.substr(0, 2))}};
    REQUIRE(archive.unpack(transfer));

    std::string incompressible;
    core::random_source random(5);
    for (std::size_t i = 0; i <= row_archive::max_delta_bytes; ++i)
        incompressible += static_cast<char>(random.below(256));
    archive.apply(change_of(6, incompressible).rows, false, true);
    const auto sent = archive.transfer_of(change_of(6, incompressible));
    REQUIRE(sent.rows.front().form == row_form::whole);
    REQUIRE(make_archive().unpack(sent));
}

// Guards against a damaged message of another instance that ends the process or changes the configuration.
TEST_CASE("damaged transfers are refused or yield the rows that were sent")
{
    auto holder = make_archive();
    const auto base = make_archive();
    holder.apply(change_of(6, large_value(301)).rows, false, true);
    test::message_mutator mutator(33);
    const auto text = serialise(holder.transfer_after(5, change_of(6, "")));
    for (int i = 0; i < 3000; ++i) {
        const auto transfer = parse_transfer(mutator.mutate(text));
        if (!transfer)
            continue;
        const auto change = base.unpack(*transfer);
        if (!change)
            continue;
        for (const auto& row : change->rows) {
            if (row.key == "config" && !row.removed && row.version == 6 && row.value.size() > 1000)
                REQUIRE(row.value == large_value(301));
        }
    }
}
