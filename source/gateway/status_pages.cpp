#include "gateway/status_pages.h"

namespace knapweed::gateway {

namespace asio = net::asio;

status_pages::status_pages(const gateway_settings& settings, const http_dialect& dialect,
                           steering::steerer& steerer, gateway_metrics& metrics, event_log& log,
                           std::function<bool()> ready)
    : settings_(settings), dialect_(dialect), steerer_(steerer), metrics_(metrics), log_(log),
      ready_(std::move(ready))
{}

asio::awaitable<void> status_pages::answer_readiness(std::shared_ptr<caller_exchange> exchange)
{
    answer_head head;
    const bool is_ready = ready_() && exchange->request().path() == dialect_.readiness_path;
    head.status = is_ready ? 200 : 503;
    head.reason = is_ready ? "OK" : "Not ready";
    co_await exchange->answer(head, {});
}

std::vector<lookup_entry> status_pages::lookup_entries()
{
    std::vector<lookup_entry> entries;
    entries.push_back({{settings_.caller_address, settings_.data_centre, settings_.capacity, ready_()},
                       !steerer_.links().is_cut()});
    steerer_.peers().visit([this, &entries](const steering::instance_status& status, bool live) {
        if (status.location.region != settings_.region)
            return;
        entries.push_back({{status.caller_address, status.location.data_centre, status.capacity,
                            live && status.ready && !status.leaving},
                           status.reaches_servers});
    });
    return entries;
}

asio::awaitable<void> status_pages::answer_lookup(std::shared_ptr<caller_exchange> exchange)
{
    answer_head head;
    std::string body;
    if (exchange->request().path() != dialect_.lookup_path) {
        head = {404, "Not found", "", {}};
        co_await exchange->answer(head, {});
        co_return;
    }
    const auto addresses = choose_lookup_addresses(settings_.data_centre, lookup_entries());
    if (addresses.empty()) {
        head = {503, "No instance", "", {}};
    }
    else {
        head = {200, "OK", "Content-Type: application/json\r\n", {}};
        body = dialect_.write_lookup_answer(addresses, settings_.lookup_ttl);
    }
    co_await exchange->answer(head, body);
}

asio::awaitable<void> status_pages::answer_metrics(std::shared_ptr<caller_exchange> exchange)
{
    metrics_.set_log_lines_dropped(log_.dropped());
    metrics_.set_quarantined_requests(steerer_.quarantine().quarantined());
    const answer_head head{200, "OK", "Content-Type: text/plain; version=0.0.4\r\n", {}};
    const auto text = metrics_.text();
    co_await exchange->answer(head, text);
}

} // namespace knapweed::gateway
