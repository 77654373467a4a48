#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

constexpr std::size_t number_of_servers = 18;
constexpr std::uint64_t sound_requests = 10;
constexpr std::uint64_t seeds = 40;
constexpr milliseconds message_time{40};
constexpr milliseconds contact_time{3000};
constexpr std::string_view deadly = "/deadly";

std::string sound(std::uint64_t number)
{
    return "/orders/" + std::to_string(number);
}

/** Instances that tell each other of the servers that end, and servers that start again at once. */
class crashing_fleet {
public:
    explicit crashing_fleet(std::uint64_t seed, std::size_t instances = 6) : random_(seed)
    {
        for (std::size_t i = 0; i < instances; ++i)
            instances_.push_back(std::make_unique<request_quarantine>(time_));
        for (std::size_t i = 0; i < number_of_servers; ++i)
            restart(i);
    }

    [[nodiscard]] core::simulated_clock& time() { return time_; }
    [[nodiscard]] core::random_source& random() { return random_; }
    [[nodiscard]] std::size_t any_instance() { return random_.below(instances_.size()); }
    [[nodiscard]] std::size_t any_server() { return random_.below(number_of_servers); }

    /** A request that began at an instance a time ago loses its server. @returns whether it is not retried.
     */
    bool lose(std::size_t instance, std::size_t server, const std::string& target, milliseconds run)
    {
        auto plan = plan_of(instance, target);
        return instances_[instance]->record_loss(plan, servers_[server], time_.now() - run);
    }

    /** All instances find out that the server has ended, and it starts again. */
    void end(std::size_t server)
    {
        for (const auto& instance : instances_)
            instance->server_ends().record_connection(servers_[server]->record().id,
                                                      connect_failure::refused);
        ended_.push_back(server);
    }

    void answer(std::size_t instance, const std::string& target)
    {
        auto plan = plan_of(instance, target);
        instances_[instance]->record_answer(plan);
    }

    /** Lets each instance hear of the others' news. */
    void exchange()
    {
        for (const auto& instance : instances_)
            (void)instance->tick(link_state::sound);
        for (const auto server : std::exchange(ended_, {}))
            restart(server);
        std::vector<std::vector<crash_report>> sent;
        for (const auto& instance : instances_)
            sent.push_back(instance->reports());
        time_.advance(message_time);
        for (std::size_t from = 0; from < sent.size(); ++from) {
            for (std::size_t to = 0; to < sent.size(); ++to) {
                if (from != to)
                    instances_[to]->receive(sent[from], false);
            }
        }
    }

    [[nodiscard]] bool refuses(std::size_t instance, const std::string& target) const
    {
        request_plan plan;
        plan.identity = {"shop.example", "GET", target, "", "192.0.2.1"};
        return instances_[instance]->refuses(plan);
    }

    [[nodiscard]] std::size_t refused_sound_requests() const
    {
        std::size_t refused = 0;
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            for (std::uint64_t number = 0; number < sound_requests; ++number)
                refused += refuses(i, sound(number)) ? 1 : 0;
        }
        return refused;
    }

private:
    request_plan plan_of(std::size_t instance, const std::string& target)
    {
        request_plan plan;
        plan.identity = {"shop.example", "GET", target, "", "192.0.2.1"};
        (void)instances_[instance]->refuses(plan);
        return plan;
    }

    void restart(std::size_t server)
    {
        auto record = test::sample_server("s" + std::to_string(server));
        record.started_unix_ms = ++starts_;
        servers_[server] = std::make_shared<backend_server>(record, test::near_region, time_);
    }

    core::simulated_clock time_;
    core::random_source random_;
    std::vector<std::unique_ptr<request_quarantine>> instances_;
    std::array<server_pointer, number_of_servers> servers_;
    std::vector<std::size_t> ended_;
    std::uint64_t starts_ = 0;
};

/** Ends a server under some of the sound requests, which several instances sent there. */
void end_with_sound_requests(crashing_fleet& fleet, std::size_t server, std::uint64_t running)
{
    for (std::uint64_t i = 0; i < running; ++i)
        (void)fleet.lose(fleet.any_instance(), server, sound(fleet.random().below(sound_requests)),
                         milliseconds(20 + fleet.random().below(60)));
    fleet.end(server);
}

/** How a request that ends its servers comes, and what runs beside it. */
struct deadly_case {
    milliseconds interval{0};
    std::uint64_t beside = 0;       ///< sound requests at each server
    bool sound_are_answered = true; ///< when they are sent again, elsewhere
};

/** Plays 30 s. @returns the sends of the deadly request later than the contact time after its third end. */
std::size_t count_late_sends(std::uint64_t seed, const deadly_case& played)
{
    crashing_fleet fleet(seed);
    std::vector<core::time_point> sends;
    auto next = fleet.time().now();
    const auto until = fleet.time().now() + std::chrono::seconds(30);
    while (fleet.time().now() < until) {
        if (fleet.time().now() >= next) {
            next += played.interval;
            const auto instance = fleet.any_instance();
            bool goes_on = !fleet.refuses(instance, std::string(deadly));
            for (int attempt = 0; goes_on && attempt < 2; ++attempt) {
                const auto server = fleet.any_server();
                sends.push_back(fleet.time().now());
                fleet.time().advance(milliseconds(15));
                goes_on = !fleet.lose(instance, server, std::string(deadly), milliseconds(15));
                end_with_sound_requests(fleet, server, played.beside);
            }
        }
        fleet.exchange();
        for (std::uint64_t number = 0; played.sound_are_answered && number < sound_requests; ++number)
            fleet.answer(fleet.any_instance(), sound(number));
        fleet.time().advance(milliseconds(20));
    }
    REQUIRE(sends.size() >= 3);
    return static_cast<std::size_t>(std::count_if(sends.begin(), sends.end(), [&sends](auto at) {
        return at > sends[2] + milliseconds(15) + contact_time;
    }));
}

} // namespace

// Guards against sound requests that are refused since they ran on servers that crashed for another reason.
TEST_CASE("sound requests at many servers that crash together again and again are not refused")
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        crashing_fleet fleet(seed);
        for (int round = 0; round < 3; ++round) {
            for (std::size_t server = 0; server < number_of_servers; ++server) {
                if (fleet.random().below(2) == 0)
                    end_with_sound_requests(fleet, server, 1 + fleet.random().below(6));
            }
            fleet.time().advance(milliseconds(100));
            for (int i = 0; i < 5; ++i) {
                fleet.exchange();
                INFO("seed " << seed << ", round " << round);
                REQUIRE(fleet.refused_sound_requests() == 0);
            }
            fleet.time().advance(milliseconds(400));
        }
    }
}

// Guards against sound requests that are refused since busy servers crash one after the other.
TEST_CASE("sound requests beside many others at three servers that crash in turn are not refused")
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        crashing_fleet fleet(seed);
        for (std::size_t server = 0; server < 3; ++server) {
            end_with_sound_requests(fleet, server, 40);
            for (int i = 0; i < 5; ++i) {
                fleet.exchange();
                INFO("seed " << seed << ", server " << server);
                REQUIRE(fleet.refused_sound_requests() == 0);
            }
            fleet.time().advance(milliseconds(400));
        }
    }
}

// Guards against a popular request that is refused in a series of crashes though it is answered between them.
TEST_CASE("sound requests that are answered between crashes are not refused, however many crashes there are")
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        crashing_fleet fleet(seed);
        for (int round = 0; round < 12; ++round) {
            for (std::size_t server = 0; server < number_of_servers; ++server) {
                if (fleet.random().below(2) == 0)
                    end_with_sound_requests(fleet, server, 1 + fleet.random().below(6));
            }
            fleet.time().advance(milliseconds(100));
            for (std::uint64_t number = 0; number < sound_requests; ++number) {
                fleet.exchange();
                INFO("seed " << seed << ", round " << round);
                REQUIRE(fleet.refused_sound_requests() == 0);
                fleet.answer(fleet.any_instance(), sound((number * 3 + seed) % sound_requests));
            }
            fleet.time().advance(milliseconds(200));
        }
    }
}

// Guards against a request that goes on ending servers since others run beside it there (BUDGET).
TEST_CASE("a request that ends its servers is refused in time, whatever runs beside it")
{
    for (const auto interval : {milliseconds(150), milliseconds(1000), milliseconds(4000)}) {
        for (const std::uint64_t beside : {0, 1, 4, 20}) {
            for (const bool answered : {true, false}) {
                for (std::uint64_t seed = 0; seed < seeds; ++seed) {
                    INFO("interval " << interval.count() << " ms, " << beside << " beside it, "
                                     << (answered ? "answered" : "not answered") << ", seed " << seed);
                    CHECK(count_late_sends(seed, {interval, beside, answered}) <= 3);
                }
            }
        }
    }
}
