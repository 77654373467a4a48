#include "gateway/peer_messenger.h"

namespace knapweed::gateway {

namespace asio = net::asio;

peer_messenger::peer_messenger(const asio::any_io_executor& executor, peer_identity own,
                               steering::steerer& steerer, status_source status, net::error_hook on_error)
    : executor_(executor), own_(std::move(own)), steerer_(steerer), status_(std::move(status)),
      link_(
          executor, [this](const peer_message& message) { receive(message); }, std::move(on_error))
{}

net::error_code peer_messenger::open(const asio::ip::udp::endpoint& address)
{
    return link_.open(address);
}

void peer_messenger::send_status()
{
    const auto addresses = steerer_.fanout().status_receivers();
    if (!addresses.empty())
        link_.send(encode_datagram(status_()), addresses);
}

template <typename Report>
void peer_messenger::send_reports(const std::vector<Report>& reports,
                                  const std::vector<std::string>& addresses)
{
    if (!reports.empty() && !addresses.empty())
        link_.send(encode_datagram(reports), addresses);
}

void peer_messenger::send_crash_reports()
{
    send_reports(steerer_.quarantine().reports(), steerer_.fanout().status_receivers());
}

void peer_messenger::send_limit_reports()
{
    const auto& fanout = steerer_.fanout();
    send_reports(steerer_.limits().reports(fanout.is_hub()), fanout.status_receivers());
}

void peer_messenger::send_leaving_reports()
{
    const auto& fanout = steerer_.fanout();
    send_reports(steerer_.notices().reports(fanout.is_hub()), fanout.status_receivers());
}

void peer_messenger::send_account_loads()
{
    if (!steerer_.quotas().is_active())
        return;
    for (auto& [message, receivers] : steerer_.account_loads().next_messages(steerer_.quotas().own_load())) {
        message.incarnation = own_.incarnation;
        message.sequence = next_sequence();
        const auto datagram = encode_datagram(message);
        if (datagram.size() <= peer_link::max_datagram_bytes)
            link_.send(datagram, receivers);
    }
}

void peer_messenger::receive(const peer_message& message)
{
    if (const auto* status = std::get_if<steering::instance_status>(&message))
        receive_status(*status);
    else if (const auto* load = std::get_if<steering::instance_load>(&message))
        receive_load(*load);
    else if (const auto* change = std::get_if<steering::table_change>(&message); change && on_table_change_)
        on_table_change_(*change);
    else if (const auto* reports = std::get_if<std::vector<steering::crash_report>>(&message))
        steerer_.quarantine().receive(*reports, steerer_.fanout().is_hub());
    else if (const auto* limits = std::get_if<std::vector<steering::limit_report>>(&message))
        steerer_.limits().receive(*limits, steerer_.fanout().is_hub());
    else if (const auto* leaving = std::get_if<std::vector<steering::leaving_report>>(&message))
        steerer_.notices().receive(*leaving, steerer_.fanout().is_hub());
    else if (const auto* loads = std::get_if<steering::account_load_message>(&message))
        steerer_.account_loads().receive(*loads);
    else if (const auto* transfer = std::get_if<replication::table_transfer>(&message);
             transfer && on_transfer_)
        on_transfer_(*transfer);
}

/** An instance that has just started learns at once what this one knows of requests that end servers, of
    limits and of servers that leave. */
void peer_messenger::receive_status(const steering::instance_status& status)
{
    if (!steerer_.peers().update(status))
        return;
    send_reports(steerer_.quarantine().reports(), {status.peer_address});
    send_reports(steerer_.limits().reports(true), {status.peer_address});
    send_reports(steerer_.notices().all_reports(), {status.peer_address});
}

/** A sum over this instance's region includes its own requests, which are known better here. */
void peer_messenger::receive_load(const steering::instance_load& load)
{
    if (load.region != own_.region) {
        steerer_.loads_of_peers().update(load);
    }
    else if (!steerer_.fanout().is_hub()) {
        auto others = load;
        others.servers = steering::subtract(load.servers, last_sent_load_);
        steerer_.loads_of_peers().update(others);
    }
}

void peer_messenger::broadcast_change(const steering::table_change& change,
                                      const transfer_source& as_transfer)
{
    const auto addresses = steerer_.peers().peer_addresses_in(own_.region);
    auto datagram = encode_datagram(change);
    if (datagram.size() > peer_link::max_datagram_bytes) {
        const auto transfer = as_transfer(change);
        datagram = transfer ? encode_datagram(*transfer) : std::string();
    }
    if (!datagram.empty() && datagram.size() <= peer_link::max_datagram_bytes && !addresses.empty())
        link_.send(datagram, addresses);
    send_status();
}

asio::awaitable<void> peer_messenger::send_load_periodically()
{
    asio::steady_timer timer(executor_);
    for (std::uint64_t round = 0;; ++round) {
        timer.expires_after(steerer_.fanout().load_interval());
        const auto [error] = co_await timer.async_wait(net::as_result);
        if (error)
            co_return;
        send_load(round);
    }
}

/** Sends the load messages of one round; that of this instance only if it is due or has changed. */
void peer_messenger::send_load(std::uint64_t round)
{
    const auto plan = steerer_.fanout().next_load_message(round);
    auto own = steerer_.own_load();
    if (!plan.region_sum.empty()) {
        const steering::instance_load sum{own_.instance, own_.incarnation, next_sequence(),
                                          steerer_.loads_of_peers().region_sum(own), own_.region};
        link_.send(encode_datagram(sum), plan.region_sum);
    }
    if (!plan.own_load.empty() && (plan.is_due || own != last_sent_load_)) {
        const steering::instance_load load{own_.instance, own_.incarnation, next_sequence(), own, {}};
        link_.send(encode_datagram(load), plan.own_load);
    }
    last_sent_load_ = std::move(own);
}

} // namespace knapweed::gateway
