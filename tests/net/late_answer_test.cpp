#include "net/network_fixture.h"

using namespace knapweed;
using decision::dispatch_finished;
using decision::dispatch_result;
using decision::dispatch_status;
using test::make_reply;
using test::network_fixture;
using test::scripted_reply;
using test::test_client;
using test::upstream_fake;

namespace {

/** How a backend server repeats the id of a run in its answer. */
enum class id_echo { own, other, none };

std::string id_field(const std::string& request, id_echo echo)
{
    const auto begin = request.find("Knapweed-Run-Id: ");
    const auto end = request.find("\r\n", begin) + 2;
    if (echo == id_echo::own && begin != std::string::npos)
        return request.substr(begin, end - begin);
    return echo == id_echo::other ? "Knapweed-Run-Id: other\r\n" : "";
}

std::string refusal(const std::string& request, id_echo echo)
{
    return make_reply("503 Busy", "Knapweed-Not-Run: true\r\n" + id_field(request, echo), "shed");
}

std::string success(const std::string& request, id_echo echo, const std::string& body)
{
    return make_reply("200 OK", id_field(request, echo), body);
}

/** Dispatches the requests of callers to a server. */
class late_answer_fixture {
public:
    /** Dispatches a request. @returns its result. */
    dispatch_result run(const upstream_fake& server)
    {
        callers_.push_back(std::make_unique<test_client>(node.port));
        node.post_and_dispatch(*callers_.back(), server.address(), core::milliseconds(20000),
                               {callers_.size()});
        return node.next_event<dispatch_finished>().result;
    }

    [[nodiscard]] std::uint64_t opened() const
    {
        return node.reports.value(net::counter::upstream_connections_opened);
    }

    /** @returns the answer that the caller of the latest request receives. */
    [[nodiscard]] std::string read_answer() { return callers_.back()->read_answer(); }

    network_fixture node;

private:
    std::vector<std::unique_ptr<test_client>> callers_;
};

} // namespace

// Guards against a run that counts as refused, or as answered by another run's answer, because the server
// sent an earlier answer once more on the kept connection.
TEST_CASE_METHOD(late_answer_fixture,
                 "a late copy of an earlier run's answer is not the answer to the next run")
{
    const bool refused = GENERATE(true, false);
    std::atomic<int> number = 0;
    upstream_fake server([&](const std::string& request) {
        if (++number != 1)
            return scripted_reply{success(request, id_echo::own, "run " + std::to_string(number))};
        const auto first = refused ? refusal(request, id_echo::own) : success(request, id_echo::own, "run 1");
        return scripted_reply{.bytes = first, .before_next = first};
    });
    CHECK(run(server).status == (refused ? dispatch_status::refused : dispatch_status::answered));
    const auto second = run(server);
    CHECK(second.status == dispatch_status::answered);
    CHECK(second.answer.body == "run 2");
    CHECK(read_answer().ends_with("run 2"));
    CHECK(opened() == 1);
    // An answer was skipped, so the connection isn't used again.
    CHECK(run(server).answer.body == "run 3");
    CHECK(opened() == 2);
}

// Guards against believing an answer that may be the late copy of one to an earlier run.
TEST_CASE_METHOD(late_answer_fixture, "an answer without a run id proves nothing behind another answer")
{
    const bool refused = GENERATE(true, false);
    const bool behind_skipped = GENERATE(true, false);
    std::atomic<int> number = 0;
    upstream_fake server([&](const std::string& request) {
        const auto without_id =
            refused ? refusal(request, id_echo::none) : success(request, id_echo::none, "late");
        const auto own = success(request, id_echo::own, "own");
        if (behind_skipped)
            return scripted_reply{refusal(request, id_echo::other) + without_id + own};
        return ++number == 1 ? scripted_reply{.bytes = own, .before_next = without_id} : scripted_reply{own};
    });
    if (!behind_skipped)
        CHECK(run(server).status == dispatch_status::answered);
    CHECK(run(server).status == dispatch_status::broken);
    CHECK(opened() == 1);
}

// Guards against ignoring a server that doesn't repeat run ids, and against sending it another run on a
// connection on which a copy of its answer may follow.
TEST_CASE_METHOD(late_answer_fixture,
                 "an answer without a run id is believed on a new connection, which is not used again")
{
    const bool refused = GENERATE(true, false);
    upstream_fake server([&](const std::string& request) {
        const auto answer =
            refused ? refusal(request, id_echo::none) : success(request, id_echo::none, "own");
        return scripted_reply{.bytes = answer, .before_next = answer};
    });
    for (std::uint64_t runs = 1; runs <= 3; ++runs) {
        CHECK(run(server).status == (refused ? dispatch_status::refused : dispatch_status::answered));
        CHECK(opened() == runs);
    }
}

// Guards against a new connection for each run although the server repeats the run id.
TEST_CASE_METHOD(late_answer_fixture, "a connection whose answers bear the run ids is used again")
{
    std::atomic<int> number = 0;
    upstream_fake server([&](const std::string& request) {
        return scripted_reply{++number == 2 ? refusal(request, id_echo::own)
                                            : success(request, id_echo::own, "own")};
    });
    CHECK(run(server).status == dispatch_status::answered);
    CHECK(run(server).status == dispatch_status::refused);
    CHECK(run(server).status == dispatch_status::answered);
    CHECK(opened() == 1);
}

// Guards against an attempt that reads answers to other runs without end, or a body without end among them.
TEST_CASE_METHOD(late_answer_fixture, "at most two answers to other runs, of limited size, are skipped")
{
    const std::size_t skipped = GENERATE(1, 2, 3);
    const std::size_t bytes = GENERATE(as<std::size_t>{}, 0, 1U << 19U, (1U << 20U) + (1U << 17U));
    upstream_fake server([&](const std::string& request) {
        std::string answers;
        for (std::size_t i = 0; i < skipped; ++i)
            answers += success(request, id_echo::other, std::string(bytes, 'x'));
        return scripted_reply{answers + success(request, id_echo::own, "own")};
    });
    const auto result = run(server);
    const bool within_limits = skipped <= 2 && bytes <= 1U << 20U;
    CHECK(result.status == (within_limits ? dispatch_status::answered : dispatch_status::broken));
    CHECK(result.answer.body == (within_limits ? "own" : ""));
}

// Guards against an interim answer that is passed on as the answer, while the run's own answer remains on the
// connection.
TEST_CASE_METHOD(late_answer_fixture, "an interim answer is not the answer to a run")
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n";
    upstream_fake server([&](const std::string& request) {
        return scripted_reply{interim + interim + success(request, id_echo::own, "own")};
    });
    for (int runs = 0; runs < 2; ++runs) {
        const auto result = run(server);
        CHECK(result.status == dispatch_status::answered);
        CHECK(result.answer.status == 200);
        CHECK(result.answer.body == "own");
    }
    CHECK(opened() == 1);
}
