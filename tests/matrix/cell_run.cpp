#include "matrix/cell_run.h"

namespace knapweed::matrix {

namespace {

using namespace std::chrono_literals;

constexpr core::milliseconds warm_up{4500}; ///< until pools have owners and new owners have free slots
constexpr core::milliseconds background_interval{70};
constexpr core::milliseconds step_limit{3000};      ///< for a request to reach the step
constexpr core::milliseconds long_step_limit{8000}; ///< for other subjects
constexpr core::milliseconds second_fault_after{1000};
constexpr core::milliseconds configuration_limit{4000}; ///< bound of the promise `config_in_force`
constexpr core::milliseconds liveness_limit{15000};
constexpr core::milliseconds settle_time{4200}; ///< deadline, grace time and retries of the last requests
constexpr core::milliseconds recovery_request_interval{400};

/** Names of `request_step` in its order: the steps of both kinds of request. */
const std::vector<std::string> request_steps{"lookup",    "admitted",   "intent_sent", "intent_recorded",
                                             "queued",    "dispatched", "running",     "answered",
                                             "delivered", "retry"};

} // namespace

std::string name_of(subject_kind kind)
{
    switch (kind) {
    case subject_kind::non_idempotent:
        return "non_idempotent";
    case subject_kind::idempotent:
        return "idempotent";
    case subject_kind::configuration_change:
        return "configuration_change";
    case subject_kind::ownership_change:
        return "ownership_change";
    case subject_kind::drain:
        return "drain";
    case subject_kind::stop:
        return "stop";
    }
    return "";
}

const std::vector<std::string>& steps_of(subject_kind kind)
{
    static const std::vector<std::string> change{"read", "written", "in_force_one", "in_force_all"};
    static const std::vector<std::string> ownership{"silent", "taken_over", "returned"};
    static const std::vector<std::string> stop{"requested", "handed_over", "quiet", "exited"};
    switch (kind) {
    case subject_kind::configuration_change:
    case subject_kind::drain:
        return change;
    case subject_kind::ownership_change:
        return ownership;
    case subject_kind::stop:
        return stop;
    default:
        return request_steps;
    }
}

cell_run::cell_run(const cell_plan& plan, int variant)
    : plan_(plan), variant_(variant), cluster_({variant, plan.seed, plan.count_runs_twice}, plan.verbose)
{}

bool cell_run::is_request() const
{
    return plan_.kind == subject_kind::non_idempotent || plan_.kind == subject_kind::idempotent;
}

caller& cell_run::add_caller(operation_plan plan)
{
    plan.tag.operation = next_operation_++;
    callers_.push_back(std::make_unique<caller>(cluster_, plan));
    return *callers_.back();
}

void cell_run::start_background()
{
    if (!background_running_)
        return;
    operation_plan plan;
    plan.tag.idempotent = next_operation_ % 2 == 0;
    plan.tag.run_time = 30ms;
    plan.first_node = next_operation_ / 2 % node_count;
    plan.skip_endpoints = next_operation_ % 3 == 0 ? 1 : 0;
    plan.max_attempts = 3;
    add_caller(plan).start();
    cluster_.events.after(background_interval, [this] { start_background(); });
}

void cell_run::start_subject()
{
    subject_started_ = true;
    if (is_request()) {
        operation_plan plan;
        plan.tag.idempotent = plan_.kind == subject_kind::idempotent;
        plan.skip_endpoints = variant_ == 2 ? 1 : 0;
        plan.disconnects_once = plan_.step == "retry";
        if (plan_.step == "retry")
            plan.tag.run_time = 400ms;
        if (plan_.step == "queued") {
            for (int i = 0; i < 24; ++i) {
                operation_plan filler;
                filler.tag.idempotent = true;
                filler.tag.run_time = 300ms;
                filler.first_node = i % node_count;
                add_caller(filler).start();
            }
        }
        cluster_.events.after(plan_.step == "queued" ? 30ms : 0ms, [this, plan] {
            subject_ = &add_caller(plan);
            subject_->start();
        });
        return;
    }
    const int target = variant_;
    switch (plan_.kind) {
    case subject_kind::configuration_change:
        publish_change(cluster_, 0, "change");
        break;
    case subject_kind::drain: {
        const auto& server = cluster_.configuration().services(0).backend_servers(0);
        drained_server_ = server.address();
        drained_data_centre_ = server.data_centre();
        publish_change(cluster_, 0, "drain", [](wire::configuration& next) {
            next.mutable_services(0)->mutable_backend_servers(0)->set_drained(true);
        });
        break;
    }
    case subject_kind::ownership_change:
        pool_owner_before_ = target;
        cluster_.kill(target);
        cluster_.events.after(500ms, [this] { reached("silent"); });
        break;
    default:
        cluster_.stop(target);
        cluster_.events.after(0ms, [this] { reached("requested"); });
        cluster_.events.after(300ms, [this] { reached("handed_over"); });
        cluster_.events.after(5300ms, [this] { reached("quiet"); });
    }
}

void cell_run::poll_subject()
{
    cluster_.events.after(10ms, [this] { poll_subject(); });
    if (!subject_started_ || is_request())
        return;
    if (plan_.kind == subject_kind::stop && !cluster_.is_up(variant_))
        reached("exited");
    if (plan_.kind == subject_kind::ownership_change) {
        static const std::array<std::string, node_count> centres{"a1", "a2", "b1", "b2"};
        const int owner = cluster_.owner_of_pool(centres.at(static_cast<std::size_t>(variant_)));
        if (owner >= 0 && owner != pool_owner_before_) {
            reached("taken_over");
            if (plan_.step == "returned" && !cluster_.is_up(pool_owner_before_))
                cluster_.start(pool_owner_before_);
        }
        if (plan_.step == "returned" && owner == pool_owner_before_ && cluster_.is_up(owner))
            reached("returned");
    }
    int in_force = 0;
    int up = 0;
    for (int node = 0; node < node_count; ++node) {
        up += cluster_.is_up(node) ? 1 : 0;
        in_force += cluster_.is_up(node) && cluster_.node(node).configuration().version() > 1 ? 1 : 0;
    }
    if (plan_.kind == subject_kind::configuration_change || plan_.kind == subject_kind::drain) {
        if (in_force > 0)
            reached("in_force_one");
        if (in_force == up)
            reached("in_force_all");
    }
    if (plan_.kind == subject_kind::drain && !drained_server_.empty()) {
        const int owner = cluster_.owner_of_pool(drained_data_centre_);
        if (owner >= 0 && !cluster_.is_paused(owner) && cluster_.node(owner).configuration().version() > 1) {
            cluster_.servers.at(drained_server_)->set_drained(true);
            drained_server_.clear();
        }
    }
}

void cell_run::reached(const std::string& step)
{
    if (step == plan_.step && !fault_injected_ && subject_started_)
        inject_fault();
}

fault_roles cell_run::choose_roles()
{
    fault_roles roles;
    roles.owner = is_request() ? 0 : variant_ % 2;
    roles.witness = 1 - roles.owner;
    if (subject_ != nullptr) {
        if (const int owner = cluster_.find(subject_->binding_owner()); owner >= 0)
            roles.owner = owner;
        if (const int witness = cluster_.find(subject_->binding_witness()); witness >= 0)
            roles.witness = witness;
    }
    const auto& backend = cluster_.configuration().services(0).backend_servers(0);
    roles.pool_owner =
        dispatched_by_ >= 0 ? dispatched_by_ : std::max(cluster_.owner_of_pool(backend.data_centre()), 0);
    roles.server = cluster_.servers.at(backend.address()).get();
    for (const auto& [address, server] : cluster_.servers) {
        if (subject_ != nullptr && server->runs(subject_->tag().operation))
            roles.server = server.get();
    }
    roles.send = [this](core::rank rank, bool crashes_server) {
        operation_plan plan;
        plan.rank = rank;
        plan.tag.idempotent = true;
        plan.tag.crashes_server = crashes_server;
        plan.tag.run_time = 60ms;
        plan.body_hash = crashes_server ? 666 : 0;
        plan.first_node = next_operation_ % node_count;
        plan.max_attempts = crashes_server ? 3 : 1;
        add_caller(plan).start();
    };
    return roles;
}

void cell_run::inject_fault()
{
    fault_injected_ = true;
    roles_ = choose_roles();
    cluster_.promises.trace(
        "FAULT " + plan_.first_fault->name + " at " + plan_.step + ", owner " +
        simulated_cluster::names().at(static_cast<std::size_t>(roles_.owner)) + ", witness " +
        simulated_cluster::names().at(static_cast<std::size_t>(roles_.witness)) + ", pool owner " +
        simulated_cluster::names().at(static_cast<std::size_t>(roles_.pool_owner)));
    plan_.first_fault->begin(cluster_, roles_);
    auto duration = plan_.first_fault->duration;
    cluster_.events.after(duration, [this] { end_fault(*plan_.first_fault); });
    if (plan_.second_fault != nullptr) {
        cluster_.events.after(second_fault_after, [this] {
            cluster_.promises.trace("FAULT " + plan_.second_fault->name);
            plan_.second_fault->begin(cluster_, roles_);
        });
        cluster_.events.after(second_fault_after + plan_.second_fault->duration,
                              [this] { end_fault(*plan_.second_fault); });
        duration = std::max(duration, second_fault_after + plan_.second_fault->duration);
    }
    cluster_.events.after(duration + 1ms, [this] { faults_ended_ = true; });
}

void cell_run::end_fault(const fault& ended)
{
    cluster_.promises.trace("end of " + ended.name);
    ended.end(cluster_, roles_);
}

void cell_run::check_recovery()
{
    const auto begin = cluster_.events.now();
    std::vector<caller*> recovery_callers;
    bool answered[2] = {false, false};
    bool versions_checked = false;
    while (cluster_.events.now() - begin < liveness_limit) {
        operation_plan plan;
        plan.tag.idempotent = recovery_callers.size() % 2 == 0;
        plan.first_node = static_cast<int>(recovery_callers.size() / 2 % node_count);
        recovery_callers.push_back(&add_caller(plan));
        recovery_callers.back()->start();
        cluster_.events.run(recovery_request_interval);
        for (const auto* recovery_caller : recovery_callers) {
            if (recovery_caller->status() == caller::state::answered)
                answered[recovery_caller->tag().idempotent ? 1 : 0] = true;
        }
        if (!versions_checked && cluster_.events.now() - begin >= configuration_limit) {
            versions_checked = true;
            cluster_.check_versions();
        }
        if (versions_checked && answered[0] && answered[1])
            break;
    }
    if (!answered[0])
        cluster_.promises.report_violation("liveness", "no new non-idempotent request succeeds within 15 s");
    if (!answered[1])
        cluster_.promises.report_violation("liveness", "no new idempotent request succeeds within 15 s");
    background_running_ = false;
    cluster_.events.run(settle_time);
    cluster_.check_open_exchanges();
}

cell_result cell_run::run()
{
    cluster_.on_step = [this](request_step step, const attempt_tag& tag, int node) {
        // Only requests have these steps; the look-up is reported before the first exchange of the subject.
        if (!is_request() || subject_ == nullptr || tag.operation != subject_->tag().operation)
            return;
        if (step == request_step::dispatched) {
            dispatched_by_ = node;
            subject_dispatched_ = true;
        }
        const bool before_queue = plan_.kind == subject_kind::idempotent
                                      ? step == request_step::admitted
                                      : step == request_step::intent_recorded;
        if (plan_.step == "queued" && before_queue) {
            cluster_.events.after(5ms, [this] {
                if (!subject_dispatched_)
                    reached("queued");
            });
        }
        reached(request_steps.at(static_cast<std::size_t>(step)));
    };
    cluster_.store.on_read = [this](const auto& operation) {
        if (std::get<state::row_read>(operation).table == "configuration")
            reached("read");
    };
    cluster_.store.on_written = [this](const auto&) { reached("written"); };
    poll_subject();
    cluster_.events.after(2500ms, [this] { start_background(); });
    cluster_.events.run(warm_up);
    start_subject();
    cluster_.events.run(is_request() ? step_limit : long_step_limit, [this] { return fault_injected_; });
    cell_result result;
    if (!fault_injected_) {
        result.applicable = false;
        result.inapplicable_reason = "step not reached";
        return result;
    }
    cluster_.events.run(60s, [this] { return faults_ended_; });
    for (int node = 0; node < node_count && !is_request(); ++node) {
        // An instance that stopped or was killed as the subject of the cell is replaced; one that
        // is still leaving keeps running.
        if (!cluster_.is_up(node))
            cluster_.start(node);
    }
    check_recovery();
    result.violations = cluster_.promises.violations();
    return result;
}

cell_result run_cell(const cell_plan& plan, int variant)
{
    return cell_run{plan, variant}.run();
}

cell_result run_cell(const cell_plan& plan)
{
    cell_result combined;
    combined.applicable = false;
    for (int variant = 0; variant < 3; ++variant) {
        if (plan.verbose)
            std::printf("--- variant %d\n", variant);
        const auto variant_result = run_cell(plan, variant);
        combined.applicable = combined.applicable || variant_result.applicable;
        combined.inapplicable_reason = variant_result.inapplicable_reason;
        for (const auto& [promise, detail] : variant_result.violations)
            combined.violations.emplace(promise, "variant " + std::to_string(variant) + ": " + detail);
    }
    return combined;
}

} // namespace knapweed::matrix
