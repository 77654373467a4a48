#include "operators/apply_command.h"

#include "state/configuration_json.h"
#include "state/configuration_rules.h"

#include <google/protobuf/util/message_differencer.h>

namespace knapweed::operators {

namespace {

using candidate_result = std::variant<wire::configuration, command_error>;

command_error unknown_name(const std::string& kind, const std::string& name,
                           const std::vector<std::string>& known)
{
    return {{}, "no " + kind + " is named " + name, closest_word(name, known)};
}

template <typename List>
std::vector<std::string> names_in(const List& list)
{
    std::vector<std::string> names;
    for (const auto& entry : list)
        names.push_back(entry.name());
    return names;
}

candidate_result drain_data_centre(wire::configuration candidate, const drain_command& drain)
{
    for (auto& data_centre : *candidate.mutable_data_centres()) {
        if (data_centre.name() != drain.name)
            continue;
        data_centre.set_drained(drain.drained);
        return candidate;
    }
    return unknown_name("data centre", drain.name, names_in(candidate.data_centres()));
}

candidate_result drain_backend_server(wire::configuration candidate, const drain_command& drain)
{
    std::vector<std::string> names;
    wire::backend_server* found = nullptr;
    for (auto& service : *candidate.mutable_services()) {
        for (auto& server : *service.mutable_backend_servers()) {
            const auto qualified = service.name() + "/" + server.name();
            names.push_back(server.name());
            names.push_back(qualified);
            if (drain.name != server.name() && drain.name != qualified)
                continue;
            if (found != nullptr) {
                return command_error{
                    {}, "several services have a backend server " + drain.name + "; write SERVICE/NAME", ""};
            }
            found = &server;
        }
    }
    if (found == nullptr)
        return unknown_name("backend server", drain.name, names);
    found->set_drained(drain.drained);
    return candidate;
}

/** Visitor that applies each kind of command that changes the configuration, and rejects the others. */
struct command_applier {
    const wire::configuration& configuration;

    candidate_result operator()(const drain_command& drain) const
    {
        switch (drain.target) {
        case drain_target::data_centre:
            return drain_data_centre(configuration, drain);
        case drain_target::backend_server:
            return drain_backend_server(configuration, drain);
        case drain_target::instance:
            break;
        }
        return command_error{{}, "instances are not part of the configuration", ""};
    }

    candidate_result operator()(const cap_command& cap) const
    {
        auto candidate = configuration;
        for (auto& service : *candidate.mutable_services()) {
            if (service.name() != cap.service.str())
                continue;
            service.set_shift_cap_permille(cap.permille);
            service.set_shift_window_ms(static_cast<std::uint32_t>(cap.window.count()));
            return candidate;
        }
        return unknown_name("service", cap.service.str(), names_in(candidate.services()));
    }

    candidate_result operator()(const config_apply_command& apply) const
    {
        std::string error;
        auto candidate = state::parse_configuration(apply.json, &error);
        if (!candidate)
            return command_error{{}, "not a configuration: " + error, ""};
        if (candidate->services().empty())
            return command_error{{}, "a configuration without services would stop all traffic", ""};
        if (candidate->version() != 0 && candidate->version() != configuration.version()) {
            return command_error{{},
                                 "made from version " + std::to_string(candidate->version()) +
                                     ", but version " + std::to_string(configuration.version()) +
                                     " is in force",
                                 ""};
        }
        candidate->set_version(configuration.version());
        return *candidate;
    }

    template <typename Other>
    candidate_result operator()(const Other&) const
    {
        return command_error{{}, "the command does not change the configuration", ""};
    }
};

bool is_equal_except_change_record(wire::configuration a, wire::configuration b)
{
    a.clear_change();
    b.clear_change();
    return google::protobuf::util::MessageDifferencer::Equals(a, b);
}

} // namespace

bool changes_configuration(const command& input)
{
    if (const auto* drain = std::get_if<drain_command>(&input))
        return drain->target != drain_target::instance;
    return std::holds_alternative<cap_command>(input) || std::holds_alternative<config_apply_command>(input);
}

std::variant<wire::configuration, command_error> apply_command(const wire::configuration& configuration,
                                                               const command& input)
{
    auto result = std::visit(command_applier{configuration}, input);
    const auto* candidate = std::get_if<wire::configuration>(&result);
    if (candidate == nullptr)
        return result;
    const auto errors = state::validate(*candidate);
    if (!errors.empty())
        return command_error{{}, state::describe(errors), ""};
    if (is_equal_except_change_record(*candidate, configuration))
        return command_error{{}, "the command would not change the configuration", ""};
    return result;
}

} // namespace knapweed::operators
