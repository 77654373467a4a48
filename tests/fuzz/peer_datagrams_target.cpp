#include "fuzz/allocation_meter.h"
#include "fuzz/fuzz_target.h"
#include "gateway/status_codec.h"
#include "steering/steerer.h"

#include <algorithm>

using namespace knapweed;

namespace {

const core::region_id region{"r"};
const core::service_id service{"orders"};

/** Bytes that decoding a datagram may take: the smallest element of a message has two bytes, and an object of
    the generated code and one of ours. */
constexpr std::size_t bytes_per_byte = 256;
constexpr std::size_t fixed_bytes = 16384;
/** The generated code reserves this much more than it has for a text that a damaged message announces and
   doesn't have; the block is not written to, and the message is refused. */
constexpr std::size_t reserved_for_text = 50'000'000;

void check_memory(std::size_t received_bytes)
{
    using fuzz::allocation_meter;
    const auto limit = fixed_bytes + bytes_per_byte * received_bytes;
    const auto largest = allocation_meter::largest_block_bytes();
    fuzz::require(allocation_meter::allocated_bytes() - largest <= limit &&
                      largest <= reserved_for_text + received_bytes + 1,
                  "the memory that is taken is bounded by the bytes that arrived");
}

gateway::peer_message decode(std::string_view datagram)
{
    {
        const fuzz::allocation_meter meter;
        (void)gateway::decode_status(datagram);
        check_memory(datagram.size());
    }
    const fuzz::allocation_meter meter;
    auto message = gateway::decode_datagram(datagram);
    check_memory(datagram.size());
    return message;
}

/** Encodes a decoded message and decodes it again. */
void check_encoding(const gateway::peer_message& message)
{
    std::visit(
        [&message](const auto& content) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(content)>, std::monostate>) {
                const auto text = gateway::encode_datagram(content);
                const auto again = gateway::decode_datagram(text);
                if (text.empty())
                    return;
                fuzz::require(again.index() == message.index(), "a message is decoded to the same kind");
                fuzz::require(gateway::encode_datagram(std::get<std::decay_t<decltype(content)>>(again)) ==
                                  text,
                              "a message is decoded to what was encoded");
            }
        },
        message);
}

/** Passes a message on as the gateway does. */
void apply(steering::steerer& steerer, const gateway::peer_message& message)
{
    if (const auto* status = std::get_if<steering::instance_status>(&message)) {
        fuzz::require(status->capacity > 0, "an instance has capacity");
        (void)steerer.peers().update(*status);
    }
    else if (const auto* load = std::get_if<steering::instance_load>(&message))
        steerer.loads_of_peers().update(*load);
    else if (const auto* crashes = std::get_if<std::vector<steering::crash_report>>(&message))
        steerer.quarantine().receive(*crashes, steerer.fanout().is_hub());
    else if (const auto* limits = std::get_if<std::vector<steering::limit_report>>(&message))
        steerer.limits().receive(*limits, steerer.fanout().is_hub());
    else if (const auto* leaving = std::get_if<std::vector<steering::leaving_report>>(&message))
        steerer.notices().receive(*leaving, steerer.fanout().is_hub());
    else if (const auto* loads = std::get_if<steering::account_load_message>(&message))
        steerer.account_loads().receive(*loads);
}

/** @returns the next datagram of the input: two bytes state its length, the last one is what is left. */
std::string_view take_datagram(std::string_view& input)
{
    constexpr std::size_t length_bytes = 2;
    constexpr unsigned byte_values = 256;
    if (input.size() < length_bytes)
        return std::exchange(input, {});
    const std::size_t stated =
        static_cast<unsigned char>(input[0]) * byte_values + static_cast<unsigned char>(input[1]);
    input.remove_prefix(length_bytes);
    const auto datagram = input.substr(0, stated);
    input.remove_prefix(datagram.size());
    return datagram;
}

} // namespace

// Guards against datagrams that end the process, take its memory or put values into the estimates that break
// them.
void fuzz::run_input(std::string_view input)
{
    core::simulated_clock time;
    steering::steerer steerer({core::instance_id{"own"}, {core::data_centre_id{"a"}, region}}, time);
    steerer.servers().set_regions({{core::data_centre_id{"a"}, region}});
    steering::server_record record;
    record.id = core::server_id{"s"};
    record.service = service;
    record.data_centre = core::data_centre_id{"a"};
    record.address = "127.0.0.1:9";
    steerer.servers().put(record);
    constexpr int max_datagrams = 16;
    for (int i = 0; i < max_datagrams && !input.empty(); ++i) {
        const auto message = decode(take_datagram(input));
        check_encoding(message);
        apply(steerer, message);
        time.advance(core::milliseconds(20));
        (void)steerer.tick();
        require(steerer.peers().demand(service, region) >= 0, "the demand is a number of requests");
        (void)steerer.own_load();
        (void)steerer.loads_of_peers().region_sum({});
        (void)steerer.fanout().next_load_message(1);
        (void)steerer.limits().reports(true);
        (void)steerer.quarantine().reports();
        (void)steerer.notices().all_reports();
        for (const auto& load :
             steerer.account_loads().others().value_or(std::vector<accounts::account_load>()))
            require(load.demand >= 0 && load.admitted >= 0, "the load of an account is a number of requests");
    }
}
