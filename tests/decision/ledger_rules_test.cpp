// One test for each row of the table in docs/design.md 4.1. Node 0 is the owner, node 1 the witness and node
// 2 another entry instance.

#include "decision/ledger_model.h"

#include <catch2/catch.hpp>

using namespace knapweed::test;
using answers = std::vector<std::string>;
using std::chrono::milliseconds;

namespace {

/** A model with one request, whose ticket names node 0 as the owner and node 1 as the witness. */
struct single_request {
    server_behaviour server = server_behaviour::answers;
    ledger_model model;

    explicit single_request(model_options options = {})
        : model(1, [&] {
              options.server = [this] { return server; };
              options.pool_refuses = [] { return false; };
              return options;
          }())
    {
        model.issue_ticket(0, 2, 0, 1);
    }

    /** Delivers the request to the owner, which posts the intent. */
    void admit()
    {
        model.attempt(0, 0);
        model.network().deliver(0);
    }

    /** Sends the request through an entry instance and delivers everything. */
    void retry_through(std::size_t entry)
    {
        model.attempt(0, entry);
        model.network().deliver_all();
    }
};

} // namespace

// Guards against the answer "unknown" when the witness can exclude that the request ran.
TEST_CASE("a request is refused when its owner dies before the intent is recorded")
{
    single_request run;
    run.admit();
    run.model.network().drop(0);
    run.model.kill(0);
    run.retry_through(2);
    REQUIRE(run.model.observed().answers() == answers{"refused owner_lost"});
}

// Guards against a refusal of a request that the dead owner may have run.
TEST_CASE("the outcome is unknown when the owner dies after its intent is recorded")
{
    single_request run;
    run.admit();
    run.model.network().deliver(0);
    run.model.kill(0);
    run.retry_through(2);
    REQUIRE(run.model.observed().answers() == answers{"unknown owner_lost"});
}

// Guards against a paused owner that runs a request after another instance reported it as not run.
TEST_CASE("a paused owner refuses the request when it resumes after the seal")
{
    single_request run;
    run.model.attempt(0, 0);
    run.model.attempt(0, 2);
    run.model.network().pause(0);
    run.model.network().deliver(1);
    run.model.give_up_relays();
    run.model.network().deliver_all();
    REQUIRE(run.model.observed().answers() == answers{"refused owner_lost"});
    run.model.network().resume(0);
    run.model.network().deliver_all();
    REQUIRE(run.model.observed().answers() == answers{"refused owner_lost", "refused owner_lost"});
    REQUIRE(run.model.observed().runs() == 0);
}

// Guards against a dispatch without the acknowledgement, or on a late one after the refusal.
TEST_CASE("a request is refused for ever when the acknowledgement of its intent is lost")
{
    single_request run;
    run.admit();
    run.model.network().duplicate(0);
    run.model.network().deliver(0);
    run.model.network().drop(1);
    run.model.advance(milliseconds{250});
    run.model.network().deliver_all();
    REQUIRE(run.model.observed().answers() == answers{"refused witness_unavailable"});
    REQUIRE(run.model.observed().runs() == 0);
}

// Guards against relying on a witness that has lost its records.
TEST_CASE("a restarted witness records no intent and confirms no refusal for earlier tickets")
{
    single_request run;
    run.model.kill(1);
    run.retry_through(0);
    REQUIRE(run.model.observed().answers() == answers{"refused witness_unavailable"});

    single_request both_restarted;
    both_restarted.admit();
    both_restarted.model.network().deliver(0);
    both_restarted.model.kill(1);
    both_restarted.model.kill(0);
    both_restarted.retry_through(2);
    REQUIRE(both_restarted.model.observed().answers() == answers{"unknown witness_lost"});
}

// Guards against a second run, or a lost answer, when a caller retries.
TEST_CASE("a retry after a lost answer gets the stored answer")
{
    single_request run;
    run.retry_through(0);
    run.retry_through(2);
    REQUIRE(run.model.observed().answers() == answers{"done", "done"});
    REQUIRE(run.model.observed().runs() == 1);
}

// Guards against the answer of another request for a reused key, from the owner and from the witness.
TEST_CASE("a request that reuses a key with another body never gets the answer of the first request")
{
    model_options options;
    options.operations = 2;
    options.reuse_key = true;
    single_request run{options};
    run.retry_through(0);
    run.model.attempt(1, 2);
    run.model.network().deliver_all();
    REQUIRE(run.model.observed().answers() == answers{"done", "refused key_reused"});

    single_request owner_dead{options};
    owner_dead.retry_through(0);
    owner_dead.model.kill(0);
    owner_dead.model.attempt(1, 2);
    owner_dead.model.network().deliver_all();
    REQUIRE(owner_dead.model.observed().answers() == answers{"done", "unknown owner_lost"});
    owner_dead.retry_through(2);
    REQUIRE(owner_dead.model.observed().answers().back() == "done");
    REQUIRE(owner_dead.model.observed().violation().empty());
}

// Guards against a second run after a server died while it ran a request that is not idempotent.
TEST_CASE("the outcome is unknown at each retry when the server died")
{
    single_request run;
    run.server = server_behaviour::breaks_after_run;
    run.retry_through(0);
    run.retry_through(2);
    REQUIRE(run.model.observed().answers() == answers{"unknown server_died", "unknown server_died"});
    REQUIRE(run.model.observed().runs() == 1);
}

// Guards against a witness that has dropped the record of a seal and then records a late intent.
TEST_CASE("an intent is rejected when it arrives after the record of its seal was dropped")
{
    single_request run;
    run.admit();
    run.model.attempt(0, 2);
    run.model.network().pause(0);
    run.model.network().deliver(
        1); // the other entry instance relays, gives up and seals; the intent stays pending
    run.model.give_up_relays();
    for (int i = 0; i < 4; ++i)
        run.model.network().deliver(2);
    REQUIRE(run.model.observed().answers() == answers{"refused owner_lost"});
    run.model.advance(ledger_model::ticket_lifetime * 3);
    run.model.network().resume(0);
    run.model.network().deliver_all();
    REQUIRE(run.model.observed().runs() == 0);
}
