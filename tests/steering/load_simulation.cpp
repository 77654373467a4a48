#include "load_simulation.h"

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
constexpr std::size_t cached_requests = 72;
constexpr std::uint64_t number_of_objects = 104;
constexpr int instances_per_region = 3;
constexpr milliseconds delay_in_region{1};
constexpr milliseconds delay_between_regions{20};
constexpr milliseconds target{200};
constexpr milliseconds time_limit{800};

struct simulation;

struct simulated_request {
    request_plan plan;
    std::uint64_t object = 0;
    time_point first_sent; ///< when the caller first sent it
    bool retried = false;  ///< the caller has sent it again after a refusal
    int instance = 0;
};

struct simulated_server {
    core::region_id region;
    unsigned running = 0;
    std::deque<std::function<void()>> waiting;
    std::deque<std::uint64_t> cached_objects;
};

struct timed_event {
    time_point time;
    std::uint64_t order = 0; ///< lower first, of events at the same time
    std::function<void()> action;

    bool operator<(const timed_event& other) const
    {
        return std::tie(other.time, other.order) < std::tie(time, order);
    }
};

/** Callers, instances and servers on a simulated clock. */
struct simulation {
    explicit simulation(const load_scenario& load) : scenario(load), random(load.seed)
    {
        const std::map<core::data_centre_id, core::region_id> regions{
            {core::data_centre_id{"a"}, core::region_id{"ra"}},
            {core::data_centre_id{"b"}, core::region_id{"rb"}},
            {core::data_centre_id{"c"}, core::region_id{"rc"}}};
        auto policy = sample_policy();
        policy.routes.front().object_affinity = scenario.object_affinity;
        policy.routes.front().target_latency = target;
        for (const auto& [data_centre, region] : regions) {
            for (int i = 0; i < instances_per_region; ++i) {
                const auto name = data_centre.str() + std::to_string(i);
                instances.push_back(std::make_unique<steerer>(
                    steerer_options{core::instance_id{name}, {data_centre, region}}, time));
                regions_of_instances.push_back(region);
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
            send_load(i, 0);
        tick();
        schedule_arrival();
    }

    load_result run()
    {
        const auto end = time.now() + scenario.length;
        while (!events.empty() && events.top().time < end) {
            const auto event = events.top();
            events.pop();
            time.advance(event.time - time.now());
            event.action();
        }
        return result;
    }

    /** Schedules an action. */
    void after(core::duration delay, std::function<void()> action)
    {
        events.push({time.now() + delay, ++order, std::move(action)});
    }

    void tick()
    {
        for (auto& instance : instances)
            instance->tick();
        after(milliseconds(100), [this] { tick(); });
    }

    /** Sends an instance's load message: every fourth round to all, otherwise to its region. */
    void send_load(std::size_t sender, std::uint64_t round)
    {
        instance_load load{core::instance_id{"peer" + std::to_string(sender)},
                           {1},
                           round + 1,
                           instances[sender]->own_load()};
        for (std::size_t i = 0; i < instances.size(); ++i) {
            const bool same_region = regions_of_instances[i] == regions_of_instances[sender];
            if (i == sender || (!same_region && round % 4 != 0))
                continue;
            after(same_region ? delay_in_region : delay_between_regions,
                  [this, i, load] { instances[i]->loads_of_peers().update(load); });
            if (round % 16 == 0)
                send_status(sender, i);
        }
        after(milliseconds(30), [this, sender, round] { send_load(sender, round + 1); });
    }

    void send_status(std::size_t sender, std::size_t receiver)
    {
        instance_status status;
        status.instance = core::instance_id{"peer" + std::to_string(sender)};
        status.location = {core::data_centre_id{regions_of_instances[sender].str().substr(1)},
                           regions_of_instances[sender]};
        status.incarnation = {1};
        status.sequence = ++order;
        status.demand = instances[sender]->demand();
        instances[receiver]->peers().update(status);
    }

    /** Schedules the next request of the callers. */
    void schedule_arrival()
    {
        const double seconds = -std::log(1 - random.fraction()) / scenario.requests_per_second;
        after(std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds)), [this] {
            auto request = std::make_shared<simulated_request>();
            request->object = random.below(number_of_objects);
            request->instance = static_cast<int>(random.below(instances.size()));
            request->first_sent = time.now();
            result.requests += 1;
            begin(request);
            schedule_arrival();
        });
    }

    /** The caller's request arrives at its instance. */
    void begin(const std::shared_ptr<simulated_request>& request)
    {
        request->plan = {};
        const auto limit = time_limit - (time.now() - request->first_sent);
        const request_facts facts{"shop.example", "/orders/1",
                                  core::hash_text(std::to_string(request->object)), time.now(),
                                  std::chrono::duration_cast<milliseconds>(limit)};
        perform(request, instances[static_cast<std::size_t>(request->instance)]->begin(facts, request->plan));
    }

    /** Carries out a step of the request. */
    void perform(const std::shared_ptr<simulated_request>& request, const next_step& step)
    {
        if (const auto* send = std::get_if<send_step>(&step)) {
            const auto server = send->server;
            const auto sent = time.now();
            after(delay_to(*request, *server),
                  [this, request, server, sent] { arrive_at_server(request, server, sent); });
            return;
        }
        if (const auto* refused = std::get_if<refuse_step>(&step)) {
            if (std::exchange(request->retried, true)) {
                result.refused += 1;
                return;
            }
            after(refused->retry_after, [this, request] { begin(request); });
            return;
        }
        if (std::holds_alternative<deliver_step>(step))
            (time.now() - request->first_sent <= target ? result.in_target : result.late) += 1;
    }

    core::duration delay_to(const simulated_request& request, const backend_server& server) const
    {
        return regions_of_instances[static_cast<std::size_t>(request.instance)] == server.region()
                   ? delay_in_region
                   : delay_between_regions;
    }

    /** The request arrives at a server, which runs it, queues it or refuses it. */
    void arrive_at_server(const std::shared_ptr<simulated_request>& request, const server_pointer& server,
                          time_point sent)
    {
        auto& simulated = servers.at(server->record().id);
        if (simulated.running >= slots && simulated.waiting.size() >= queue_limit) {
            answer(request, server, sent, attempt_outcome::not_run);
            return;
        }
        auto start = [this, request, server, sent] { serve(request, server, sent); };
        if (simulated.running >= slots)
            simulated.waiting.emplace_back(std::move(start));
        else
            start();
    }

    void serve(const std::shared_ptr<simulated_request>& request, const server_pointer& server,
               time_point sent)
    {
        auto& simulated = servers.at(server->record().id);
        ++simulated.running;
        const bool cached = std::find(simulated.cached_objects.begin(), simulated.cached_objects.end(),
                                      request->object) != simulated.cached_objects.end();
        simulated.cached_objects.push_back(request->object);
        if (simulated.cached_objects.size() > cached_requests)
            simulated.cached_objects.pop_front();
        const double spread = 0.85 + 0.3 * random.fraction();
        const auto run = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double, std::milli>((cached ? 72 : 240) * spread));
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
        const auto& simulated = servers.at(server->record().id);
        attempt_result ended;
        ended.outcome = outcome;
        ended.load = load_report{simulated.running, static_cast<unsigned>(simulated.waiting.size()), slots};
        after(delay_to(*request, *server), [this, request, server, sent, ended]() mutable {
            ended.taken = time.now() - sent;
            auto& instance = *instances[static_cast<std::size_t>(request->instance)];
            perform(request, instance.attempt_ended(request->plan, *server, ended));
        });
    }

    load_scenario scenario;
    core::random_source random;
    core::simulated_clock time;
    std::vector<std::unique_ptr<steerer>> instances;
    std::vector<core::region_id> regions_of_instances;
    std::unordered_map<core::server_id, simulated_server> servers;
    std::priority_queue<timed_event> events;
    std::uint64_t order = 0;
    load_result result;
};

} // namespace

load_result simulate_load(const load_scenario& scenario)
{
    return simulation(scenario).run();
}

} // namespace knapweed::test
