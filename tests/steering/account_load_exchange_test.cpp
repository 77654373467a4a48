#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

constexpr std::uint32_t account = 7;

/** Instances that exchange status messages and loads as their fanout decides, without delay. */
class load_fleet {
public:
    load_fleet(std::size_t instances, std::size_t regions)
    {
        for (std::size_t i = 0; i < instances; ++i)
            members_.push_back(
                std::make_unique<member>(i, core::region_id{"r" + std::to_string(i % regions)}, time_));
        for (auto& from : members_) {
            for (auto& to : members_) {
                if (to != from)
                    to->peers.add_registered(from->status());
            }
        }
    }

    void advance(milliseconds length)
    {
        for (auto step = milliseconds(100); step <= length; step += milliseconds(100)) {
            time_.advance(milliseconds(100));
            for (auto& from : members_)
                from->fanout.tick(false);
            for (auto& from : members_) {
                if (from->cut)
                    continue;
                if (step.count() % 500 == 0)
                    send_status(*from);
                if (step.count() % 200 == 0)
                    send_loads(*from);
                from->loads.tick();
            }
        }
    }

    void cut(std::size_t i) { members_[i]->cut = true; }
    [[nodiscard]] std::optional<double> demand_of_others(std::size_t i) const
    {
        const auto others = members_[i]->loads.others();
        if (!others)
            return std::nullopt;
        return others->empty() ? 0 : others->front().demand;
    }

private:
    struct member {
        member(std::size_t i, core::region_id of, const core::clock& time)
            : id("i" + std::to_string(i)), region(std::move(of)), peers(id, region, time),
              fanout(id, region, 1, peers, time), loads(id, region, peers, fanout, time)
        {}

        [[nodiscard]] instance_status status()
        {
            instance_status result;
            result.instance = id;
            result.location = {core::data_centre_id{"d-" + region.str()}, region};
            result.peer_address = id.str();
            result.incarnation = {1};
            result.sequence = ++sequence;
            if (fanout.is_hub())
                result.region_sum = region_summary{};
            return result;
        }

        core::instance_id id;
        core::region_id region;
        peer_table peers;
        peer_fanout fanout;
        account_load_exchange loads;
        std::uint64_t sequence = 0;
        bool cut = false;
    };

    void deliver(const std::vector<std::string>& receivers, const std::function<void(member&)>& action)
    {
        for (auto& to : members_) {
            if (!to->cut && std::find(receivers.begin(), receivers.end(), to->id.str()) != receivers.end())
                action(*to);
        }
    }

    void send_status(member& from)
    {
        const auto status = from.status();
        deliver(from.fanout.status_receivers(), [&](member& to) { (void)to.peers.update(status); });
    }

    void send_loads(member& from)
    {
        for (auto& [message, receivers] : from.loads.next_messages({{account, 1, 0.5}})) {
            message.incarnation = {1};
            message.sequence = ++from.sequence;
            deliver(receivers, [&, &sent = message](member& to) { to.loads.receive(sent); });
        }
    }

    core::simulated_clock time_;
    std::vector<std::unique_ptr<member>> members_;
};

} // namespace

// Guards against instances that are counted twice or not at all, in a full mesh and with hubs.
TEST_CASE("each instance knows the sum of the loads of all others")
{
    for (const std::size_t instances : {std::size_t{9}, std::size_t{60}}) {
        load_fleet fleet(instances, 3);
        fleet.advance(milliseconds(6000));
        for (std::size_t i = 0; i < instances; ++i) {
            CAPTURE(instances, i);
            REQUIRE(fleet.demand_of_others(i) == Approx(static_cast<double>(instances) - 1));
        }
    }
}

// Guards against an instance that takes the silence of all others for a lack of demand.
TEST_CASE(
    "an instance that is cut off doesn't know the others' loads, and the others remember its own for a while")
{
    for (const std::size_t instances : {std::size_t{9}, std::size_t{60}}) {
        load_fleet fleet(instances, 3);
        fleet.advance(milliseconds(6000));
        fleet.cut(5);
        fleet.advance(milliseconds(2000));
        CAPTURE(instances);
        CHECK_FALSE(fleet.demand_of_others(5));
        CHECK(fleet.demand_of_others(1) == Approx(static_cast<double>(instances) - 1));
        fleet.advance(milliseconds(20000));
        CHECK(fleet.demand_of_others(1) == Approx(static_cast<double>(instances) - 2));
    }
}
