#include "experiment/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace knapweed::experiment {

namespace {

using namespace steering;
using core::milliseconds;
using core::time_point;

const core::service_id service_name{"orders"};
constexpr milliseconds tick_interval{100};
constexpr milliseconds status_interval{500};
/** Run times vary by this part of their mean in both directions. */
constexpr double run_time_spread = 0.15;

traffic_policy make_policy(const service_shape& service)
{
    route orders;
    orders.name = "r-orders";
    orders.host = "shop.example";
    orders.prefix = "/orders/";
    orders.idempotent = true;
    orders.timeout = service.timeout;
    orders.target_latency = service.target;
    orders.max_attempts = 2;
    orders.object_affinity = service.object_affinity;
    orders.shares = {{service_name, 1}};
    traffic_policy policy;
    policy.version = 1;
    policy.routes = {orders};
    policy.services[service_name] = {};
    return policy;
}

core::data_centre_id data_centre_name(const region_shape& region, int number)
{
    return core::data_centre_id{region.name + "-" + std::to_string(number)};
}

} // namespace

/** One instance since its start. */
struct fleet_simulation::instance {
    instance(std::size_t number, const network_location& where, std::uint64_t seed, const core::clock& time)
        : id("i" + std::to_string(number)), location(where), steerer(options(id, where, seed), time)
    {}

    static steerer_options options(const core::instance_id& id, const network_location& where,
                                   std::uint64_t seed)
    {
        steerer_options result;
        result.instance = id;
        result.location = where;
        result.seed = seed;
        return result;
    }

    core::instance_id id;
    network_location location;
    steering::steerer steerer;
    std::vector<instance_load::entry> last_sent_load;
};

struct fleet_simulation::caller_request {
    request_plan plan;
    std::uint64_t object = 0;
    time_point first_sent;
    bool retried = false; ///< the caller has come back after a refusal
    std::size_t instance = 0;
    std::uint64_t generation = 0; ///< of the instance
};

fleet_simulation::fleet_simulation(const deployment& description, std::uint64_t seed)
    : description_(description), random_(seed), begin_(time_.now())
{
    for (const auto& region : description_.regions) {
        for (int i = 0; i < region.data_centres; ++i)
            regions_.emplace(data_centre_name(region, i), core::region_id{region.name});
    }
    add_servers();
    start_instances();
    for (std::size_t region = 0; region < description_.regions.size(); ++region)
        schedule_arrival(region);
    tick();
    send_status();
    if (description_.power_cut_at > milliseconds::zero())
        after(description_.power_cut_at, [this] { start_instances(); });
}

fleet_simulation::~fleet_simulation() = default;

fleet_report fleet_simulation::run()
{
    const auto end = begin_ + description_.length;
    while (!events_.empty() && events_.top().time < end) {
        const auto event = events_.top();
        events_.pop();
        time_.advance(event.time - time_.now());
        event.action();
    }
    report_.limits = count_limit_use();
    return report_;
}

bool fleet_simulation::has_limit(const core::server_id& server) const
{
    return limited_arrivals_.contains(server);
}

bool fleet_simulation::are_limits_in_force() const
{
    const auto elapsed = time_.now() - begin_;
    return elapsed >= description_.limits.from && elapsed < description_.limits.to;
}

limit_use fleet_simulation::count_limit_use() const
{
    constexpr core::milliseconds contact_time{3000};
    constexpr core::milliseconds window{4000};
    constexpr core::milliseconds time_to_use{2000};
    const auto& limits = description_.limits;
    const auto from = begin_ + limits.from + contact_time;
    const auto to = begin_ + limits.to;
    const double allowed =
        limits.requests_per_second * std::chrono::duration<double>(window).count() * 1.5 + 5;
    limit_use use;
    double total = 0;
    double later = 0;
    for (const auto& [server, arrivals] : limited_arrivals_) {
        const auto begin = std::lower_bound(arrivals.begin(), arrivals.end(), from);
        const auto end = std::lower_bound(begin, arrivals.end(), to);
        total += static_cast<double>(end - begin);
        later +=
            static_cast<double>(arrivals.end() - std::lower_bound(end, arrivals.end(), to + time_to_use));
        for (auto first = begin; first != end; ++first) {
            const auto number = std::lower_bound(first, end, *first + window) - first;
            use.greatest_part = std::max(use.greatest_part, static_cast<double>(number) / allowed);
        }
    }
    const auto servers = static_cast<double>(limited_arrivals_.size());
    const auto seconds = [](core::duration time) { return std::chrono::duration<double>(time).count(); };
    use.used_share = total / (servers * limits.requests_per_second * seconds(to - from));
    use.used_later = later / (servers * seconds(begin_ + description_.length - to - time_to_use));
    return use;
}

void fleet_simulation::after(core::duration delay, std::function<void()> action)
{
    events_.push({time_.now() + delay, ++order_, std::move(action)});
}

core::duration fleet_simulation::delay(const network_location& from, const network_location& to) const
{
    if (from.data_centre == to.data_centre)
        return description_.delay_in_data_centre;
    return from.region == to.region ? description_.delay_in_region : description_.delay_between_regions;
}

void fleet_simulation::add_servers()
{
    for (const auto& region : description_.regions) {
        for (int i = 0; i < region.data_centres * region.servers; ++i) {
            server_record record;
            record.id = core::server_id{region.name + "-server-" + std::to_string(i)};
            record.service = service_name;
            record.data_centre = data_centre_name(region, i % region.data_centres);
            record.address = "127.0.0.1:9001";
            record.slots = description_.service.slots;
            servers_.emplace(record.id, description_.service);
            const auto one_in = description_.limits.one_in;
            if (one_in > 0 && server_records_.size() % one_in == 0)
                limited_arrivals_[record.id];
            server_records_.push_back(std::move(record));
        }
    }
}

/** Starts all instances, again after a power cut: they know the servers, the configuration and the registry.
 */
void fleet_simulation::start_instances()
{
    ++generation_;
    instances_.clear();
    instances_by_region_.assign(description_.regions.size(), {});
    for (std::size_t r = 0; r < description_.regions.size(); ++r) {
        const auto& region = description_.regions[r];
        for (int i = 0; i < region.data_centres * region.instances; ++i) {
            const network_location location{data_centre_name(region, i % region.data_centres),
                                            core::region_id{region.name}};
            instances_by_region_[r].push_back(instances_.size());
            instances_.push_back(
                std::make_unique<instance>(instances_.size(), location, random_.next(), time_));
        }
    }
    const auto policy = make_policy(description_.service);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        auto& steerer = instances_[i]->steerer;
        steerer.servers().set_regions(regions_);
        (void)steerer.apply(policy);
        for (const auto& record : server_records_)
            steerer.servers().put(record);
        for (auto& other : instances_)
            steerer.peers().add_registered(status_of(*other));
        send_load(i, generation_, 0);
    }
}

void fleet_simulation::tick()
{
    for (auto& instance : instances_) {
        instance->steerer.tick();
        if (instance->steerer.limits().take_news())
            send_limit_reports(*instance);
    }
    after(tick_interval, [this] { tick(); });
}

instance_status fleet_simulation::status_of(instance& sender)
{
    instance_status status;
    status.instance = sender.id;
    status.location = sender.location;
    status.peer_address = sender.id.str();
    status.incarnation = {generation_};
    status.sequence = ++sequence_;
    status.demand = sender.steerer.demand();
    if (sender.steerer.fanout().is_hub())
        status.region_sum = sender.steerer.region_sum();
    return status;
}

/** Calls @p receive for each instance with one of the addresses, when the message has arrived. */
template <typename Receive>
void fleet_simulation::deliver(const instance& sender, const std::vector<std::string>& addresses,
                               const Receive& receive)
{
    report_.messages += static_cast<double>(addresses.size());
    for (const auto& address : addresses) {
        const auto receiver = std::stoul(address.substr(1));
        after(delay(sender.location, instances_.at(receiver)->location),
              [this, receiver, receive] { receive(*instances_.at(receiver)); });
    }
}

void fleet_simulation::send_status()
{
    for (auto& sender : instances_) {
        const auto status = status_of(*sender);
        deliver(*sender, sender->steerer.fanout().status_receivers(),
                [status](instance& receiver) { receiver.steerer.peers().update(status); });
        send_limit_reports(*sender);
    }
    after(status_interval, [this] { send_status(); });
}

void fleet_simulation::send_limit_reports(instance& sender)
{
    const auto& fanout = sender.steerer.fanout();
    const auto reports = sender.steerer.limits().reports(fanout.is_hub());
    if (reports.empty())
        return;
    deliver(sender, fanout.status_receivers(), [reports](instance& receiver) {
        receiver.steerer.limits().receive(reports, receiver.steerer.fanout().is_hub());
    });
}

void fleet_simulation::send_load(std::size_t sender, std::uint64_t generation, std::uint64_t round)
{
    if (generation != generation_)
        return;
    auto& from = *instances_[sender];
    const auto plan = from.steerer.fanout().next_load_message(round);
    const auto send = [&](const std::vector<std::string>& receivers,
                          const std::vector<instance_load::entry>& servers, const core::region_id& region) {
        const instance_load load{from.id, {generation}, ++sequence_, servers, region};
        deliver(from, receivers, [load](instance& receiver) {
            if (load.region != receiver.location.region)
                return receiver.steerer.loads_of_peers().update(load);
            if (receiver.steerer.fanout().is_hub())
                return;
            auto others = load;
            others.servers = subtract(load.servers, receiver.last_sent_load);
            receiver.steerer.loads_of_peers().update(others);
        });
    };
    auto own = from.steerer.own_load();
    if (!plan.region_sum.empty())
        send(plan.region_sum, from.steerer.loads_of_peers().region_sum(own), from.location.region);
    if (plan.is_due || own != from.last_sent_load)
        send(plan.own_load, own, {});
    from.last_sent_load = std::move(own);
    after(from.steerer.fanout().load_interval(),
          [this, sender, generation, round] { send_load(sender, generation, round + 1); });
}

/** Schedules the next request of the callers of a region. */
void fleet_simulation::schedule_arrival(std::size_t region)
{
    const auto& shape = description_.regions[region];
    const std::chrono::duration<double> elapsed = time_.now() - begin_;
    const std::chrono::duration<double> period = description_.swing_period;
    const double angle = 2 * std::numbers::pi * (elapsed / period + shape.phase);
    const double rate = shape.requests_per_second * (1 + description_.swing * std::sin(angle));
    const std::chrono::duration<double> pause(-std::log(1 - random_.fraction()) / rate);
    after(std::chrono::duration_cast<core::duration>(pause), [this, region] {
        auto request = std::make_shared<caller_request>();
        request->object = random_.below(description_.service.objects);
        const auto& local = instances_by_region_[region];
        request->instance = local[random_.below(local.size())];
        request->first_sent = time_.now();
        count(*request, &request_tally::requests);
        begin(request);
        schedule_arrival(region);
    });
}

/** The caller's request arrives at its instance. */
void fleet_simulation::begin(const std::shared_ptr<caller_request>& request)
{
    request->plan = {};
    request->generation = generation_;
    const auto limit = description_.service.time_limit - (time_.now() - request->first_sent);
    const request_facts facts{"shop.example", "/orders/1", core::hash_text(std::to_string(request->object)),
                              time_.now(), std::chrono::duration_cast<milliseconds>(limit)};
    perform(request, instances_[request->instance]->steerer.begin(facts, request->plan));
}

/** Carries out a step of the request. */
void fleet_simulation::perform(const std::shared_ptr<caller_request>& request, const next_step& step)
{
    if (const auto* send = std::get_if<send_step>(&step)) {
        const auto server = send->server;
        const auto sent = time_.now();
        const auto& from = instances_[request->instance]->location;
        report_.arrivals += 1;
        report_.in_other_region += from.region == server->region() ? 0 : 1;
        after(delay(from, {server->record().data_centre, server->region()}),
              [this, request, server, sent] { arrive_at_server(request, server, sent); });
        return;
    }
    if (const auto* refused = std::get_if<refuse_step>(&step)) {
        if (std::exchange(request->retried, true))
            return count(*request, &request_tally::refused);
        after(refused->retry_after, [this, request] { begin(request); });
        return;
    }
    if (std::holds_alternative<fail_step>(step))
        return count(*request, &request_tally::failed);
    const auto taken = time_.now() - request->first_sent;
    count(*request, taken <= description_.service.target ? &request_tally::in_target : &request_tally::late);
}

/** The request arrives at a server, which runs it, queues it or refuses it. */
void fleet_simulation::arrive_at_server(const std::shared_ptr<caller_request>& request,
                                        const server_pointer& server, time_point sent)
{
    auto& simulated = servers_.at(server->record().id);
    if (has_limit(server->record().id))
        limited_arrivals_[server->record().id].push_back(time_.now());
    if (simulated.is_full()) {
        report_.rejected += 1;
        answer(request, server, sent, attempt_outcome::not_run);
        return;
    }
    simulated.enter([this, request, server, sent] { serve(request, server, sent); });
}

void fleet_simulation::serve(const std::shared_ptr<caller_request>& request, const server_pointer& server,
                             time_point sent)
{
    if (time_.now() >= request->plan.answer_by) {
        answer(request, server, sent, attempt_outcome::timed_out);
        return;
    }
    const auto mean = servers_.at(server->record().id).begin_run(request->object);
    report_.fetches += mean == description_.service.fetch_run_time ? 1 : 0;
    const double factor = 1 + run_time_spread * (2 * random_.fraction() - 1);
    after(std::chrono::duration_cast<core::duration>(mean * factor), [this, request, server, sent] {
        servers_.at(server->record().id).end_run();
        answer(request, server, sent, attempt_outcome::answered);
    });
}

void fleet_simulation::answer(const std::shared_ptr<caller_request>& request, const server_pointer& server,
                              time_point sent, attempt_outcome outcome)
{
    const auto& simulated = servers_.at(server->record().id);
    attempt_result ended;
    ended.outcome = outcome;
    ended.load = load_report{simulated.running(), static_cast<unsigned>(simulated.waiting()),
                             description_.service.slots};
    if (has_limit(server->record().id) && are_limits_in_force())
        ended.request_limit = description_.limits.requests_per_second;
    const network_location from{server->record().data_centre, server->region()};
    after(delay(from, instances_[request->instance]->location),
          [this, request, server, sent, ended]() mutable {
              if (request->generation != generation_)
                  return count(*request, &request_tally::failed); // its instance has lost power
              if (time_.now() > request->plan.answer_by)
                  ended.outcome = attempt_outcome::timed_out;
              ended.taken = time_.now() - sent;
              auto& steerer = instances_[request->instance]->steerer;
              perform(request, steerer.attempt_ended(request->plan, *server, ended));
          });
}

void fleet_simulation::count(const caller_request& request, double request_tally::*result)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(request.first_sent - begin_).count();
    report_.all.*result += 1;
    report_.by_region[instances_[request.instance]->location.region.str()].*result += 1;
    report_.by_second[static_cast<int>(second)].*result += 1;
}

} // namespace knapweed::experiment
