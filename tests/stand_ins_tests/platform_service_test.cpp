#include "stand_ins/platform/platform_service.h"
#include "stand_ins_tests/stand_in_fixture.h"

using namespace knapweed;
using namespace knapweed::stand_ins;

namespace {

class platform_fixture : public stand_in_fixture {
public:
    platform_fixture() { platform.listen(0); }

    exchange_result commit(std::uint64_t version, const nlohmann::json& value)
    {
        const nlohmann::json condition{{"table", "t"}, {"key", "a/b"}, {"version", version}};
        const nlohmann::json write{{"table", "t"}, {"key", "a/b"}, {"value", value}};
        const nlohmann::json body{{"conditions", {condition}}, {"writes", {write}}};
        return call(platform.port(), http::verb::post, "/transactions", body.dump());
    }

    nlohmann::json read(const std::string& target)
    {
        const exchange_result result = call(platform.port(), http::verb::get, target);
        return result.response.result() == http::status::ok ? nlohmann::json::parse(result.response.body())
                                                            : nlohmann::json{};
    }

    void set_faults(const nlohmann::json& faults)
    {
        REQUIRE(call(platform.port(), http::verb::post, "/faults", faults.dump()).response.result() ==
                http::status::ok);
    }

    platform_service platform{
        context.get_executor(), clock, core::milliseconds{3000}, {{"instances", nlohmann::json::array()}}};
};

} // namespace

// Guards against a write that overwrites a concurrent one, also after the row was deleted and written again.
TEST_CASE_METHOD(platform_fixture, "a transaction writes nothing when a condition does not hold")
{
    REQUIRE(commit(0, "one").response.result() == http::status::ok);
    REQUIRE(commit(0, "two").response.result() == http::status::conflict);
    REQUIRE(read("/tables/t/a/b") == nlohmann::json{{"version", 1}, {"value", "one"}});
    REQUIRE(commit(1, nullptr).response.result() == http::status::ok);
    REQUIRE(read("/tables/t/a/b").is_null());
    REQUIRE(commit(0, "three").response.result() == http::status::ok);
    REQUIRE(commit(1, "four").response.result() == http::status::conflict);
    REQUIRE(read("/tables/t/a/b") == nlohmann::json{{"version", 3}, {"value", "three"}});
}

// Guards against applying a part of a malformed transaction.
TEST_CASE_METHOD(platform_fixture, "a transaction writes nothing when one of its writes is malformed")
{
    const std::string body = R"({"writes": [{"table": "t", "key": "a/b", "value": "x"}, {"table": "t"}]})";
    REQUIRE(call(platform.port(), http::verb::post, "/transactions", body).response.result() ==
            http::status::bad_request);
    REQUIRE(read("/tables/t/a/b").is_null());
}

// Guards against fault injection that drops the write together with the answer, or drops all answers.
TEST_CASE_METHOD(platform_fixture, "a write takes effect when its answer is lost")
{
    set_faults({{"lose_answers_every", 2}});
    REQUIRE(commit(0, "one").status == exchange_status::answered);
    REQUIRE(commit(1, "two").status == exchange_status::no_answer);
    REQUIRE(read("/tables/t/a/b")["value"] == "two");
    REQUIRE(read("/statistics")["lost_answers"] == 1);
}

// Guards against stale reads that return the newest version, which would make tests of them meaningless.
TEST_CASE_METHOD(platform_fixture, "a read returns the previous version when reads are stale")
{
    REQUIRE(commit(0, "one").status == exchange_status::answered);
    REQUIRE(commit(1, "two").status == exchange_status::answered);
    set_faults({{"stale_reads", true}});
    REQUIRE(read("/tables/t/a/b") == nlohmann::json{{"version", 1}, {"value", "one"}});
    set_faults(nlohmann::json::object());
    REQUIRE(read("/tables/t/a/b")["value"] == "two");
}

// Guards against applying writes during an outage.
TEST_CASE_METHOD(platform_fixture, "a write gets no answer and has no effect during an outage")
{
    set_faults({{"outage", true}});
    REQUIRE(commit(0, "one").status == exchange_status::no_answer);
    set_faults({{"outage", false}});
    REQUIRE(read("/tables/t/a/b").is_null());
}

// Guards against an instance list that changes without its lag.
TEST_CASE_METHOD(platform_fixture, "a new instance list becomes visible after its lag")
{
    const nlohmann::json list{{"instances", {{{"instance", "e1"}}}}};
    REQUIRE(call(platform.port(), http::verb::put, "/instances", list.dump()).response.result() ==
            http::status::ok);
    clock.advance(core::milliseconds{2999});
    REQUIRE(read("/instances")["instances"].empty());
    clock.advance(core::milliseconds{1});
    REQUIRE(read("/instances") == list);
}

// Guards against altered objects, for example at a zero byte.
TEST_CASE_METHOD(platform_fixture, "reading an object returns the bytes that were written")
{
    const std::string body{"a\0b", 3};
    REQUIRE(call(platform.port(), http::verb::put, "/objects/x/y", body).response.result() ==
            http::status::ok);
    REQUIRE(call(platform.port(), http::verb::get, "/objects/x/y").response.body() == body);
    REQUIRE(call(platform.port(), http::verb::get, "/objects/z").response.result() ==
            http::status::not_found);
}
