#include "played_load.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace knapweed::test {

namespace {

using namespace steering;
using core::milliseconds;
using core::time_point;

constexpr unsigned slots = 4;
constexpr std::size_t queue_limit = 12;
constexpr std::size_t remembered = 72;
constexpr std::uint64_t objects = 104;
constexpr int instances_per_region = 3;
constexpr milliseconds in_region{1};
constexpr milliseconds between_regions{20};
constexpr milliseconds target{200};
constexpr milliseconds time_limit{800};

struct simulation;

struct simulated_request {
    request_plan plan;
    std::uint64_t object = 0;
    time_point first_asked;
    bool second_try = false;
    int instance = 0;
};

struct simulated_server {
    core::region_id region;
    unsigned running = 0;
    std::deque<std::function<void()>> waiting;
    std::deque<std::uint64_t> recent;
};

struct timed_event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> act;

    bool operator<(const timed_event& other) const
    {
        return std::tie(other.at, other.order) < std::tie(at, order);
    }
};

struct simulation {
    explicit simulation(const load_plan& load) : plan(load), random(load.seed)
    {
        const std::map<core::data_centre_id, core::region_id> regions{
            {core::data_centre_id{"a"}, core::region_id{"ra"}},
            {core::data_centre_id{"b"}, core::region_id{"rb"}},
            {core::data_centre_id{"c"}, core::region_id{"rc"}}};
        auto policy = sample_policy();
        policy.routes.front().object_affinity = plan.object_affinity;
        policy.routes.front().target_latency = target;
        for (const auto& [data_centre, region] : regions) {
            for (int i = 0; i < instances_per_region; ++i) {
                const auto name = data_centre.str() + std::to_string(i);
                instances.push_back(std::make_unique<steerer>(
                    steerer_options{core::instance_id{name}, {data_centre, region}}, time));
                places.push_back(region);
            }
        }
        for (auto& instance : instances) {
            instance->servers().set_regions(regions);
            (void)instance->apply(policy);
        }
        for (const auto& [data_centre, count] : {std::pair{"a", 8}, std::pair{"b", 8}, std::pair{"c", 2}}) {
            for (int i = 0; i < count; ++i) {
                auto record =
                    sample_server(data_centre + std::string("-server-") + std::to_string(i), data_centre);
                record.slots = slots;
                servers[record.id].region = regions.at(record.data_centre);
                for (auto& instance : instances)
                    instance->servers().put(record);
            }
        }
        for (std::size_t i = 0; i < instances.size(); ++i)
            tell(i, 0);
        tick();
        arrive();
    }

    load_result run()
    {
        const auto end = time.now() + plan.length;
        while (!events.empty() && events.top().at < end) {
            const auto event = events.top();
            events.pop();
            time.advance(event.at - time.now());
            event.act();
        }
        return result;
    }

    void after(core::duration delay, std::function<void()> act)
    {
        events.push({time.now() + delay, ++order, std::move(act)});
    }

    void tick()
    {
        for (auto& instance : instances)
            instance->tick();
        after(milliseconds(100), [this] { tick(); });
    }

    void tell(std::size_t teller, std::uint64_t round)
    {
        instance_load load{core::instance_id{"teller" + std::to_string(teller)},
                           {1},
                           round + 1,
                           instances[teller]->own_load()};
        for (std::size_t i = 0; i < instances.size(); ++i) {
            const bool near = places[i] == places[teller];
            if (i == teller || (!near && round % 4 != 0))
                continue;
            after(near ? in_region : between_regions,
                  [this, i, load] { instances[i]->loads_of_peers().update(load); });
            if (round % 16 == 0)
                share_status(teller, i);
        }
        after(milliseconds(30), [this, teller, round] { tell(teller, round + 1); });
    }

    void share_status(std::size_t teller, std::size_t listener)
    {
        instance_status status;
        status.instance = core::instance_id{"teller" + std::to_string(teller)};
        status.location = {core::data_centre_id{places[teller].str().substr(1)}, places[teller]};
        status.incarnation = {1};
        status.sequence = ++order;
        status.demand = instances[teller]->demand();
        instances[listener]->peers().update(status);
    }

    void arrive()
    {
        const double gap = -std::log(1 - random.fraction()) / plan.requests_per_second;
        after(std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(gap)), [this] {
            auto request = std::make_shared<simulated_request>();
            request->object = random.below(objects);
            request->instance = static_cast<int>(random.below(instances.size()));
            request->first_asked = time.now();
            result.asked += 1;
            ask(request);
            arrive();
        });
    }

    void ask(const std::shared_ptr<simulated_request>& request)
    {
        request->plan = {};
        const auto limit = time_limit - (time.now() - request->first_asked);
        const request_facts facts{"shop.example", "/orders/1",
                                  core::hash_text(std::to_string(request->object)), time.now(),
                                  std::chrono::duration_cast<milliseconds>(limit)};
        follow(request, instances[static_cast<std::size_t>(request->instance)]->begin(facts, request->plan));
    }

    void follow(const std::shared_ptr<simulated_request>& request, const next_step& step)
    {
        if (const auto* send = std::get_if<send_step>(&step)) {
            const auto server = send->server;
            const auto sent = time.now();
            after(delay_to(*request, *server),
                  [this, request, server, sent] { reach(request, server, sent); });
            return;
        }
        if (const auto* refused = std::get_if<refuse_step>(&step)) {
            if (std::exchange(request->second_try, true)) {
                result.refused += 1;
                return;
            }
            after(refused->retry_after, [this, request] { ask(request); });
            return;
        }
        if (std::holds_alternative<deliver_step>(step))
            (time.now() - request->first_asked <= target ? result.in_target : result.late) += 1;
    }

    core::duration delay_to(const simulated_request& request, const backend_server& server) const
    {
        return places[static_cast<std::size_t>(request.instance)] == server.region() ? in_region
                                                                                     : between_regions;
    }

    void reach(const std::shared_ptr<simulated_request>& request, const server_pointer& server,
               time_point sent)
    {
        auto& there = servers.at(server->record().id);
        if (there.running >= slots && there.waiting.size() >= queue_limit) {
            answer(request, server, sent, attempt_outcome::not_run);
            return;
        }
        auto start = [this, request, server, sent] { serve(request, server, sent); };
        if (there.running >= slots)
            there.waiting.emplace_back(std::move(start));
        else
            start();
    }

    void serve(const std::shared_ptr<simulated_request>& request, const server_pointer& server,
               time_point sent)
    {
        auto& there = servers.at(server->record().id);
        ++there.running;
        const bool known =
            std::find(there.recent.begin(), there.recent.end(), request->object) != there.recent.end();
        there.recent.push_back(request->object);
        if (there.recent.size() > remembered)
            there.recent.pop_front();
        const double spread = 0.85 + 0.3 * random.fraction();
        const auto run = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double, std::milli>((known ? 72 : 240) * spread));
        after(run, [this, request, server, sent] {
            auto& ended = servers.at(server->record().id);
            --ended.running;
            answer(request, server, sent, attempt_outcome::answered);
            if (ended.waiting.empty())
                return;
            const auto next = std::move(ended.waiting.front());
            ended.waiting.pop_front();
            next();
        });
    }

    void answer(const std::shared_ptr<simulated_request>& request, const server_pointer& server,
                time_point sent, attempt_outcome outcome)
    {
        const auto& there = servers.at(server->record().id);
        attempt_result ended;
        ended.outcome = outcome;
        ended.load = load_report{there.running, static_cast<unsigned>(there.waiting.size()), slots};
        after(delay_to(*request, *server), [this, request, server, sent, ended]() mutable {
            ended.taken = time.now() - sent;
            auto& instance = *instances[static_cast<std::size_t>(request->instance)];
            follow(request, instance.attempt_ended(request->plan, *server, ended));
        });
    }

    load_plan plan;
    core::random_source random;
    core::simulated_clock time;
    std::vector<std::unique_ptr<steerer>> instances;
    std::vector<core::region_id> places;
    std::unordered_map<core::server_id, simulated_server> servers;
    std::priority_queue<timed_event> events;
    std::uint64_t order = 0;
    load_result result;
};

} // namespace

load_result play(const load_plan& plan)
{
    return simulation(plan).run();
}

} // namespace knapweed::test
