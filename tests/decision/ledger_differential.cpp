#include "decision/ledger_differential.h"

#include <iostream>

namespace knapweed::test {
namespace {

using core::milliseconds;

constexpr std::size_t history_steps = 90;
constexpr std::size_t nodes = ledger_model::nodes;

void random_step(ledger_model& model, core::random_source& random, std::size_t operations)
{
    const auto dice = random.below(100);
    const auto node = random.below(nodes);
    if (dice < 50 && model.network().pending() > 0)
        return model.network().deliver(random.below(model.network().pending()));
    if (dice < 58 && model.network().pending() > 0)
        return model.network().drop(random.below(model.network().pending()));
    if (dice < 64 && model.network().pending() > 0)
        return model.network().duplicate(random.below(model.network().pending()));
    if (dice < 78)
        return model.attempt(random.below(operations), node);
    if (dice < 81)
        return model.kill(node);
    if (dice < 85)
        return model.network().pause(node);
    if (dice < 90)
        return model.network().resume(node);
    if (dice < 93)
        return model.give_up_relays();
    if (dice < 95)
        return model.disconnect(node);
    if (dice < 99)
        return model.advance(milliseconds{random.below(300)});
    model.advance(milliseconds{random.below(6000)});
}

// Faults of the systematic mode. Node 0 is the owner, node 1 the witness and node 2 another entry instance.
constexpr std::size_t fault_kinds = 18;

void inject_fault(ledger_model& model, std::size_t kind)
{
    const bool waiting = model.network().pending() > 0;
    if (kind < 3)
        return model.kill(kind);
    if (kind < 6)
        return model.network().pause(kind - 3);
    if (kind < 9)
        return model.attempt(0, kind - 6);
    switch (kind) {
    case 9:
        return waiting ? model.network().drop(0) : void();
    case 10:
        return waiting ? model.network().duplicate(0) : void();
    case 11:
        return waiting ? model.network().delay(0) : void();
    case 12:
        return model.give_up_relays();
    case 13:
        return model.advance(milliseconds{300});
    case 14:
        return model.advance(ledger_model::ticket_lifetime + milliseconds{1});
    case 15:
        return model.advance(ledger_model::ticket_lifetime * 2 + milliseconds{1});
    case 16:
        return model.disconnect(0);
    default:
        model.give_up_relays();
        model.kill(0);
    }
}

/** Conditions of a history with injected faults. */
struct scenario {
    std::size_t entry = 0;
    std::size_t witness = 0; ///< 0: the ticket names no witness
    server_behaviour server = server_behaviour::answers;
};

/** A fault and the step before which it is injected. */
struct fault_at {
    std::size_t step = 0;
    std::size_t kind = 0;
};

constexpr std::size_t max_request_steps = 12; ///< enough for a request that is relayed and has a witness

std::string describe(const scenario& setup, const std::vector<fault_at>& faults)
{
    auto text = " entry " + std::to_string(setup.entry) + " witness " + std::to_string(setup.witness);
    for (const auto& fault : faults)
        text += " fault " + std::to_string(fault.kind) + " at " + std::to_string(fault.step);
    return text;
}

void run_with_faults(const scenario& setup, const std::vector<fault_at>& faults, broken_rule broken,
                     fault_combinations& result)
{
    model_options options;
    options.broken = broken;
    options.server = [&] { return setup.server; };
    options.pool_refuses = [] { return false; };
    ledger_model model{7, options};
    model.issue_ticket(0, 2, 0, setup.witness);
    model.attempt(0, setup.entry);
    for (std::size_t step = 0; step < max_request_steps; ++step) {
        for (const auto& fault : faults) {
            if (fault.step == step)
                inject_fault(model, fault.kind);
        }
        if (model.network().pending() > 0)
            model.network().deliver(0);
    }
    model.settle();
    ++result.histories;
    result.runs += model.observed().runs() > 0 ? 1 : 0;
    if (result.violation.empty() && !model.observed().violation().empty())
        result.violation = model.observed().violation() + describe(setup, faults);
}

} // namespace

std::string run_ledger_history(std::uint64_t seed, broken_rule broken)
{
    core::random_source random{seed};
    model_options options;
    options.operations = 1 + random.below(3);
    options.reuse_key = options.operations > 1 && random.below(3) == 0;
    options.small_tables = random.below(3) == 0;
    options.broken = broken;
    options.server = [&] {
        const auto dice = random.below(4);
        return dice < 2 ? server_behaviour::answers : static_cast<server_behaviour>(dice - 1);
    };
    options.pool_refuses = [&] { return random.below(6) == 0; };
    ledger_model model{seed, options};
    for (auto i = options.operations; i-- > 0;)
        model.issue_ticket(i, random.below(nodes), random.below(nodes), random.below(nodes));
    for (std::size_t step = 0; step < history_steps; ++step)
        random_step(model, random, options.operations);
    model.settle();
    return model.observed().violation();
}

int run_ledger_differential(std::uint64_t seed, std::uint64_t count)
{
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto violation = run_ledger_history(seed + i);
        if (violation.empty())
            continue;
        std::cout << "ledger: seed " << seed + i << ": " << violation << '\n';
        return 1;
    }
    std::cout << "ledger: " << count << " histories from seed " << seed << " without a violation\n";
    return 0;
}

fault_combinations run_ledger_fault_combinations(broken_rule broken)
{
    std::vector<fault_at> single;
    for (std::size_t step = 0; step < max_request_steps; ++step) {
        for (std::size_t kind = 0; kind < fault_kinds; ++kind)
            single.push_back({step, kind});
    }
    fault_combinations result;
    for (const std::size_t entry : {0U, 2U}) {
        for (const std::size_t witness : {0U, 1U}) {
            for (const auto server :
                 {server_behaviour::answers, server_behaviour::breaks_after_run, server_behaviour::sheds}) {
                const scenario setup{entry, witness, server};
                run_with_faults(setup, {}, broken, result);
                for (std::size_t i = 0; i < single.size(); ++i) {
                    run_with_faults(setup, {single[i]}, broken, result);
                    const bool pairs = server == server_behaviour::answers;
                    for (std::size_t j = i; pairs && j < single.size(); ++j)
                        run_with_faults(setup, {single[i], single[j]}, broken, result);
                }
            }
        }
    }
    return result;
}

} // namespace knapweed::test
