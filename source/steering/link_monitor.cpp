#include "steering/link_monitor.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Number of servers to which connections must have failed within the window before the paths are probed. */
constexpr std::size_t failed_servers_for_doubt = 2;
constexpr core::milliseconds failure_window{1000};
/** The paths are also probed when this many servers owe answers and none has answered for the time. */
constexpr std::size_t silent_servers_for_doubt = 3;
constexpr core::milliseconds silence_for_doubt{500};
/** Servers that are probed together. */
constexpr std::size_t sample_size = 5;
/** Number of servers that must have been probed in vain before the paths count as cut, or all if there are
    fewer. A data centre that fails as a whole is one of several in a sample. */
constexpr std::size_t unreachable_servers_for_cut = 8;
/** Consecutive samples in which a server must have been connected for the paths to count as sound again.
    How many servers are connected doesn't matter: most of them may have failed meanwhile. */
constexpr std::size_t good_samples_for_return = 3;
/** Interval between samples while the paths are cut: the cost of probing against the delay of the return. */
constexpr core::milliseconds cut_sample_interval{400};
/** Time without samples after one that connected a server: the failures were those of servers. */
constexpr core::milliseconds pause_after_sound{1000};
/** A probe that is not reported within this time counts as failed. */
constexpr core::milliseconds sample_timeout{2000};
/** Servers that answered within this time are probed first. */
constexpr core::milliseconds recent_answer{3000};

} // namespace

link_monitor::link_monitor(core::data_centre_id own, const server_catalogue& servers, const core::clock& time,
                           std::uint64_t seed)
    : own_(std::move(own)), servers_(servers), time_(time), random_(seed)
{}

void link_monitor::record_failed_connection(const core::server_id& server)
{
    failed_at_[server] = time_.now();
}

void link_monitor::record_answer(const core::server_id& server)
{
    latest_answer_ = time_.now();
    answered_at_[server] = latest_answer_;
}

void link_monitor::record_silent_servers(std::size_t servers)
{
    silent_servers_ = servers;
}

void link_monitor::record_probe(const core::server_id& server, bool connected)
{
    if (!sample_ || sample_->pending.erase(server) == 0)
        return;
    if (connected)
        ++sample_->connected;
    else
        unreachable_.insert(server);
    if (sample_->pending.empty())
        complete_sample();
}

void link_monitor::complete_sample()
{
    const auto finished = *sample_;
    sample_.reset();
    const auto now = time_.now();
    if (state_ == link_state::doubtful) {
        if (finished.connected > 0) {
            enter(link_state::sound);
            next_sample_at_ = now + pause_after_sound;
        }
        else if (unreachable_.size() >= std::min(unreachable_servers_for_cut, servers_.size())) {
            enter(link_state::cut);
            next_sample_at_ = now + cut_sample_interval;
        }
        return;
    }
    consecutive_good_samples_ = finished.connected > 0 ? consecutive_good_samples_ + 1 : 0;
    if (consecutive_good_samples_ >= good_samples_for_return) {
        enter(link_state::sound);
        next_sample_at_ = now + pause_after_sound;
        return;
    }
    next_sample_at_ = now + cut_sample_interval;
}

void link_monitor::enter(link_state state)
{
    state_ = state;
    unreachable_.clear();
    failed_at_.clear();
    consecutive_good_samples_ = 0;
}

bool link_monitor::is_doubt_justified()
{
    const auto now = time_.now();
    const auto is_old = [now](core::duration limit) {
        return [now, limit](const auto& entry) { return now - entry.second >= limit; };
    };
    std::erase_if(failed_at_, is_old(failure_window));
    std::erase_if(answered_at_, is_old(recent_answer));
    const bool are_all_silent = silent_servers_ > 0 &&
                                silent_servers_ >= std::min(silent_servers_for_doubt, servers_.size()) &&
                                now - latest_answer_ >= silence_for_doubt;
    return are_all_silent || failed_at_.size() >= std::min(failed_servers_for_doubt, servers_.size());
}

std::vector<server_pointer> link_monitor::choose_sample()
{
    struct candidate {
        server_pointer server;
        bool probed = false;       ///< in vain since the doubt arose
        core::time_point answered; ///< latest answer, or the epoch
        std::uint64_t random = 0;
    };
    std::vector<candidate> candidates;
    servers_.visit([&](const backend_server& server) {
        const auto& id = server.record().id;
        const auto answered = answered_at_.find(id);
        candidates.push_back({servers_.find(id), unreachable_.contains(id),
                              answered == answered_at_.end() ? core::time_point{} : answered->second,
                              random_.next()});
    });
    std::sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
        return std::tuple(left.probed, -left.answered.time_since_epoch(), left.random) <
               std::tuple(right.probed, -right.answered.time_since_epoch(), right.random);
    });
    const auto own = std::find_if(candidates.begin(), candidates.end(), [this](const candidate& item) {
        return item.server->record().data_centre == own_;
    });
    if (own != candidates.end())
        std::rotate(candidates.begin(), own, own + 1);
    std::vector<server_pointer> chosen;
    std::map<core::data_centre_id, std::size_t> in_data_centre;
    // One server of each data centre first, so that the failure of one is not taken for a cut; the instance's
    // own data centre is the one that it reaches when others are cut off.
    for (std::size_t most = 1; chosen.size() < std::min(sample_size, candidates.size()); ++most) {
        for (const auto& item : candidates) {
            auto& taken = in_data_centre[item.server->record().data_centre];
            const bool is_new = std::find(chosen.begin(), chosen.end(), item.server) == chosen.end();
            if (chosen.size() < sample_size && taken < most && is_new) {
                chosen.push_back(item.server);
                ++taken;
            }
        }
    }
    return chosen;
}

std::vector<server_pointer> link_monitor::next_probes()
{
    const auto now = time_.now();
    if (sample_ && now - sample_->began >= sample_timeout) {
        unreachable_.insert(sample_->pending.begin(), sample_->pending.end());
        complete_sample();
    }
    const bool doubt = is_doubt_justified();
    if (sample_ || now < next_sample_at_ || servers_.size() == 0)
        return {};
    if (state_ == link_state::sound) {
        if (!doubt)
            return {};
        enter(link_state::doubtful);
    }
    auto probes = choose_sample();
    sample_ = sample{{}, 0, now};
    for (const auto& server : probes)
        sample_->pending.insert(server->record().id);
    return probes;
}

} // namespace knapweed::steering
