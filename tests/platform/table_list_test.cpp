#include "store_watcher_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using test::sample_entry;
using test::store_fake;

namespace {

enum class list_occasion { start, history_lost, new_era };

/** Has the instance list its tables. The change is made after the first page of servers was read. */
void list_beside(test::store_watcher_fixture& fixture, list_occasion occasion,
                 const std::function<void(store_fake&)>& change)
{
    fixture.store.before_page("servers", "i-3", [&fixture, change] { change(fixture.store); });
    if (occasion == list_occasion::history_lost)
        fixture.store.forget_history();
    else
        fixture.store.restore(fixture.store.copy());
}

/** @returns whether the instance ends with the right number of usable servers. */
bool follows(list_occasion occasion, const std::function<void(store_fake&)>& change, std::size_t usable)
{
    if (occasion == list_occasion::start) {
        test::store_watcher_fixture fixture(test::sample_config, 0, [&change](store_fake& store) {
            store.before_page("servers", "i-3", [&store, change] { change(store); });
        });
        return fixture.wait_for_usable(usable);
    }
    test::store_watcher_fixture fixture;
    REQUIRE(fixture.wait_for_usable(7));
    list_beside(fixture, occasion, change);
    return fixture.wait_for_usable(usable);
}

} // namespace

// Guards against requests to servers that left while an instance listed them: a change of a row on a page
// that had been read was taken for known, since a later page held a newer row.
TEST_CASE("changes that are made while the pages of a list are read are followed")
{
    const auto occasion = GENERATE(list_occasion::start, list_occasion::history_lost, list_occasion::new_era);
    const auto change_later_page = [](store_fake& store) {
        store.put("other", "x", "");
        store.put("servers", "i-7", sample_entry());
    };
    SECTION("a server of a page that was read begins to leave")
    {
        CHECK(follows(
            occasion,
            [&](store_fake& store) {
                store.put("servers", "i-1", sample_entry("draining"));
                change_later_page(store);
            },
            6));
    }
    SECTION("an entry of a page that was read is removed")
    {
        CHECK(follows(
            occasion,
            [&](store_fake& store) {
                store.remove("servers", "i-2");
                change_later_page(store);
            },
            6));
    }
    SECTION("the row with which the next page would begin is removed")
    {
        CHECK(follows(
            occasion,
            [&](store_fake& store) {
                store.remove("servers", "i-3");
                change_later_page(store);
            },
            6));
    }
    SECTION("a server joins on a page that was read")
    {
        CHECK(follows(
            occasion,
            [&](store_fake& store) {
                store.put("servers", "i-0", sample_entry());
                change_later_page(store);
            },
            8));
    }
    SECTION("rows of a page that was read change before and after those of a later page")
    {
        CHECK(follows(
            occasion,
            [&](store_fake& store) {
                store.remove("servers", "i-6");
                store.put("servers", "i-1", sample_entry("draining"));
                change_later_page(store);
                store.remove("servers", "i-2");
            },
            4));
    }
}
