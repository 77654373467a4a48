#include "net/exchange_table.h"

namespace knapweed::net {

exchange_table::exchange_table(asio::any_io_executor executor, event_port& events, telemetry& reports)
    : executor_(std::move(executor)), events_(events), reports_(reports)
{}

std::shared_ptr<exchange> exchange_table::open(buffered_request request, std::shared_ptr<answer_sink> sink)
{
    const core::exchange_id id{next_id_++};
    auto on_caller_lost = [this, id] {
        reports_.add(counter::callers_lost);
        events_.send(decision::exchange_closed{id});
    };
    auto opened = std::make_shared<exchange>(executor_, id, std::move(request), std::move(sink),
                                             std::move(on_caller_lost));
    exchanges_.emplace(id, opened);
    reports_.set(gauge::open_exchanges, static_cast<double>(exchanges_.size()));
    return opened;
}

std::shared_ptr<exchange> exchange_table::find(core::exchange_id id) const
{
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : found->second;
}

void exchange_table::erase(core::exchange_id id)
{
    exchanges_.erase(id);
    reports_.set(gauge::open_exchanges, static_cast<double>(exchanges_.size()));
}

} // namespace knapweed::net
