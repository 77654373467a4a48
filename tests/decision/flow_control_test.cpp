#include "decision/credit_table.h"
#include "decision/link_budget.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using core::rank;

namespace {

const core::pool_id pool{core::service_id{"orders"}, core::data_centre_id{"dc1"}};

wire::pool_report report_with_window(std::uint32_t urgent, std::uint32_t standard, std::uint32_t bulk)
{
    wire::pool_report report;
    report.set_service("orders");
    report.set_data_centre("dc1");
    for (const auto window : {urgent, standard, bulk})
        report.add_window(window);
    return report;
}

} // namespace

// Guards against a sender that exceeds the credit granted by a pool, or never regains it.
TEST_CASE("outstanding requests reduce the available credit until they are returned")
{
    core::simulated_clock time;
    decision::credit_table credit{time};
    credit.report(report_with_window(2, 1, 0));
    REQUIRE(credit.available(pool, rank::urgent, false) == 2);
    REQUIRE(credit.available(pool, rank::bulk, true) == 0);
    credit.sent(pool, rank::urgent);
    credit.sent(pool, rank::urgent);
    REQUIRE(credit.available(pool, rank::urgent, false) == 0);
    credit.report(report_with_window(1, 1, 1)); // fewer than the requests outstanding
    REQUIRE(credit.available(pool, rank::urgent, false) == 0);
    credit.returned(pool, rank::urgent);
    credit.returned(pool, rank::urgent);
    REQUIRE(credit.available(pool, rank::urgent, false) == 1);
}

// Guards against requests sent to an unreachable pool because of an outdated report.
TEST_CASE("an expired report allows one request to a pool in the same region and none elsewhere")
{
    core::simulated_clock time;
    decision::credit_table credit{time};
    credit.report(report_with_window(5, 5, 5));
    time.advance(decision::credit_table::report_lifetime + core::milliseconds{1});
    REQUIRE(credit.available(pool, rank::urgent, true) == 1);
    REQUIRE(credit.available(pool, rank::urgent, false) == 0);
    REQUIRE(credit.fresh_report(pool) == nullptr);
}

// Guards against bulk answers that saturate a slow link and delay urgent requests.
TEST_CASE("bulk requests may use 60 percent of a link's share, urgent requests all of it")
{
    core::simulated_clock time;
    decision::link_budget budget{time};
    const core::region_id region{"east"};
    budget.configure(region, 1000.0);
    budget.charge(region, 599);
    REQUIRE(budget.admits(region, rank::bulk));
    budget.charge(region, 2);
    REQUIRE_FALSE(budget.admits(region, rank::bulk));
    REQUIRE(budget.admits(region, rank::standard));
    budget.charge(region, 300);
    REQUIRE_FALSE(budget.admits(region, rank::standard));
    REQUIRE(budget.admits(region, rank::urgent));
    budget.charge(region, 1000);
    REQUIRE_FALSE(budget.admits(region, rank::urgent));
    time.advance(std::chrono::seconds{2});
    REQUIRE(budget.admits(region, rank::bulk));
    REQUIRE(budget.admits(core::region_id{"unlimited"}, rank::bulk));
}
