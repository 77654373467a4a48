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
