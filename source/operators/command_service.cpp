#include "operators/command_service.h"

#include "operators/apply_command.h"

namespace knapweed::operators {

command_service::command_service(decision::entry_node& node)
    : node_(node), reports_(node), routing_(node),
      changes_(node,
               [this](core::exchange_id exchange, const command_answer& given) { answer(exchange, given); })
{
    node_.on_operator_command([this](const auto& input) { on_command(input); });
}

command_service::~command_service()
{
    node_.on_operator_command({});
}

void command_service::on_command(const decision::operator_command_received& input)
{
    unanswered_.insert(input.exchange);
    const auto parsed = parse_command(input.command);
    if (const auto* error = std::get_if<command_error>(&parsed))
        answer(input.exchange, refuse(*error));
    else
        execute(std::get<command>(parsed), input);
}

void command_service::answer(core::exchange_id exchange, const command_answer& given)
{
    if (unanswered_.erase(exchange) == 0)
        return;
    node_.shared().emit(decision::answer_operator{
        exchange, given.accepted, given.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
}

void command_service::execute(const command& parsed, const decision::operator_command_received& input)
{
    if (changes_configuration(parsed)) {
        changes_.publish(parsed, input);
        return;
    }
    if (std::holds_alternative<config_history_command>(parsed)) {
        changes_.history(input.exchange);
        return;
    }
    std::visit(
        [this, &input](const auto& given) {
            if constexpr (requires { reply(given); })
                answer(input.exchange, reply(given));
        },
        parsed);
}

command_answer command_service::reply(const where_command& where) const
{
    return routing_.where(where.service, where.from);
}

command_answer command_service::reply(const why_command& why) const
{
    const bool is_request = why.subject.find('/') != std::string::npos;
    return is_request ? reports_.why_request(why.subject) : routing_.why(core::service_id{why.subject});
}

command_answer command_service::reply(const drain_command& drain)
{
    const auto& options = node_.shared().options;
    if (!drain.drained)
        return refuse("a leaving instance can't be undrained; start it again after it has stopped");
    if (drain.name == options.instance.str()) {
        node_.begin_stop();
        const auto text =
            options.instance.str() + " is removed from look-ups and stops when its requests are finished";
        return {true, {{"instance", drain.name}, {"address", options.address}, {"text", text}}};
    }
    const auto* member = node_.shared().members.find(core::instance_id{drain.name});
    if (member == nullptr) {
        std::vector<std::string> known;
        for (const auto& [instance, other] : node_.shared().members.all())
            known.push_back(instance.str());
        return unknown_name("instance", drain.name, known);
    }
    auto refusal = refuse("only " + drain.name + " can stop itself; send the command to " + member->address);
    refusal.body["instance"] = drain.name;
    refusal.body["address"] = member->address;
    return refusal;
}

command_answer command_service::reply(const quarantine_lift_command& lift)
{
    const auto notice = node_.guard().release(lift.fingerprint);
    if (!notice)
        return refuse("the fingerprint is not quarantined on this instance");
    wire::peer_message message;
    *message.mutable_quarantine_notice() = *notice;
    node_.shared().broadcast(message);
    return {true, {{"text", "the quarantine is lifted; all peers are notified"}}};
}

} // namespace knapweed::operators
