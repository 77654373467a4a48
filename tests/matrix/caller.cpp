#include "matrix/caller.h"

namespace knapweed::matrix {

namespace {

constexpr core::milliseconds client_latency{1};
constexpr core::milliseconds lookup_timeout{400};
constexpr core::milliseconds retry_delay{150};
constexpr core::milliseconds close_delay{300}; ///< from the deadline until a caller closes the connection
constexpr core::milliseconds disconnect_after{15};
constexpr int max_lookups = 30;

} // namespace

caller::caller(simulated_cluster& cluster, operation_plan plan) : cluster_(cluster), plan_(std::move(plan)) {}

core::caller_id caller::id() const
{
    return core::caller_id{"caller" + std::to_string(plan_.tag.operation)};
}

std::string caller::binding_owner() const
{
    const auto binding = decision::parse_ticket(plan_.tag.ticket);
    return binding ? binding->owner.str() : "";
}

std::string caller::binding_witness() const
{
    const auto binding = decision::parse_ticket(plan_.tag.ticket);
    return binding ? binding->witness.str() : "";
}

void caller::start()
{
    look_up();
}

void caller::look_up()
{
    if (ended())
        return;
    state_ = state::looking_up;
    if (lookup_count_ >= max_lookups) {
        end(state::gave_up);
        return;
    }
    const int node = (plan_.first_node + lookup_count_++) % node_count;
    const int lookup_number = lookup_count_;
    const auto exchange =
        cluster_.look_up(node, id(), plan_.tag, [this, lookup_number](const exchange_reply& reply) {
            if (state_ != state::looking_up || lookup_number != lookup_count_)
                return;
            if (reply.outcome != exchange_reply::kind::lookup || reply.lookup.ticket.empty()) {
                cluster_.events.after(retry_delay, [this] { look_up(); });
                state_ = state::waiting;
                return;
            }
            endpoints_.clear();
            for (const auto& endpoint : reply.lookup.endpoints)
                endpoints_.push_back(cluster_.find(endpoint.instance.str()));
            plan_.tag.ticket = reply.lookup.ticket;
            endpoint_index_ = static_cast<std::size_t>(plan_.skip_endpoints);
            state_ = state::waiting;
            if (cluster_.on_step)
                cluster_.on_step(request_step::lookup, plan_.tag, -1);
            cluster_.events.after(client_latency, [this] { send(); });
        });
    cluster_.events.after(lookup_timeout, [this, lookup_number, node, exchange] {
        if (state_ != state::looking_up || lookup_number != lookup_count_)
            return;
        cluster_.close(node, exchange);
        look_up();
    });
}

void caller::send()
{
    if (ended())
        return;
    if (endpoints_.empty()) {
        look_up();
        return;
    }
    const int attempt = ++plan_.tag.attempt;
    entry_node_ = endpoints_.at(endpoint_index_ % endpoints_.size());
    decision::request_received input;
    auto& request = input.request;
    request.caller = id();
    request.service = core::service_id{"orders"};
    request.operation = "POST /orders";
    request.rank = plan_.rank;
    request.timeout = plan_.timeout;
    request.idempotent = plan_.tag.idempotent;
    request.ticket = plan_.tag.ticket;
    request.key = "key" + std::to_string(plan_.tag.operation);
    request.body_hash =
        plan_.body_hash != 0 ? plan_.body_hash : 1000 + static_cast<std::uint64_t>(plan_.tag.operation);
    cluster_.promises.trace("caller " + std::to_string(plan_.tag.operation) + " sends attempt " +
                            std::to_string(attempt) + " to " +
                            simulated_cluster::names().at(static_cast<std::size_t>(entry_node_)));
    exchange_ = cluster_.request(entry_node_, input, plan_.tag,
                                 [this, attempt](const exchange_reply& reply) { on_reply(attempt, reply); });
    if (attempt > 1 && cluster_.on_step)
        cluster_.on_step(request_step::retry, plan_.tag, entry_node_);
    if (exchange_ == 0) {
        retry(false);
        return;
    }
    const auto give_up = [this, attempt, entry_node = entry_node_, exchange = exchange_] {
        if (ended() || plan_.tag.attempt != attempt || state_ != state::waiting)
            return;
        cluster_.close(entry_node, exchange);
        retry(false);
    };
    cluster_.events.after(plan_.timeout + close_delay, give_up);
    if (plan_.disconnects_once && attempt == 1)
        cluster_.events.after(disconnect_after, give_up);
}

void caller::on_reply(int attempt, const exchange_reply& reply)
{
    if (ended() || attempt != plan_.tag.attempt)
        return;
    const auto operation = std::to_string(plan_.tag.operation);
    switch (reply.outcome) {
    case exchange_reply::kind::answered:
        cluster_.promises.trace("caller " + operation + " receives the answer " + reply.answer.body);
        if (reply.answer.body != "operation " + operation)
            cluster_.promises.report_violation("whole_own_answer",
                                               "caller " + operation + " gets " + reply.answer.body);
        end(state::answered);
        if (cluster_.on_step)
            cluster_.on_step(request_step::delivered, plan_.tag, entry_node_);
        return;
    case exchange_reply::kind::refused: {
        const std::string reason{core::name_of(reply.refusal)};
        cluster_.promises.trace("caller " + operation + " is refused: " + reason);
        cluster_.promises.refusal_received(plan_.tag, reason);
        if (reply.refusal == core::refusal_reason::quarantined)
            end(state::refused);
        else
            retry(true);
        return;
    }
    case exchange_reply::kind::unknown:
        cluster_.promises.trace("caller " + operation +
                                " receives unknown: " + std::string{core::name_of(reply.unknown)});
        // Retried once under the same ticket; the retry must not run the operation again.
        if (plan_.tag.idempotent || ++unknown_replies_ < 2)
            retry(false);
        else
            end(state::unknown);
        return;
    default:
        retry(false);
    }
}

void caller::retry(bool with_new_ticket)
{
    if (plan_.tag.attempt >= plan_.max_attempts) {
        end(with_new_ticket ? state::refused : state::gave_up);
        return;
    }
    const int attempt = plan_.tag.attempt;
    ++endpoint_index_;
    cluster_.events.after(retry_delay, [this, with_new_ticket, attempt] {
        if (ended() || plan_.tag.attempt != attempt)
            return;
        if (with_new_ticket || plan_.tag.idempotent)
            look_up();
        else
            send();
    });
}

void caller::end(state final_state)
{
    state_ = final_state;
}

} // namespace knapweed::matrix
