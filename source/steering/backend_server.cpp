#include "steering/backend_server.h"

#include <algorithm>

namespace knapweed::steering {

backend_server::backend_server(server_record record, core::region_id region, const core::clock& time)
    : time_(time), known_since_(time.now()), record_(std::move(record)), region_(std::move(region)),
      id_hash_(core::hash_text(record_.id.str())), slots_(std::max(record_.slots, 1U)), occupancy_(time),
      failures_(time), cold_start_(time), limit_(time), rest_(time), speed_(time)
{
    cold_start_.set_remaining_cold_time(record_.remaining_cold_time);
}

void backend_server::update(server_record record)
{
    if (record.remaining_cold_time.count() > 0) {
        cold_start_.set_remaining_cold_time(record.remaining_cold_time);
        objects_.clear();
    }
    replaced_ = replaced_ && record.address == record_.address;
    slots_ = std::max(record.slots, 1U);
    record.leaving = record.leaving || record_.leaving;
    record_ = std::move(record);
}

void backend_server::record_send()
{
    if (occupancy_.own() == 0)
        unanswered_since_ = time_.now();
    occupancy_.request_started();
    cold_start_.request_started();
    rest_.request_sent();
}

void backend_server::record_answer()
{
    unanswered_since_ = time_.now();
}

core::duration backend_server::unanswered_time() const
{
    return occupancy_.own() == 0 ? core::duration::zero() : time_.now() - unanswered_since_;
}

void backend_server::observe(const load_report& report)
{
    occupancy_.observe(report);
    if (report.slots > 0)
        slots_ = report.slots;
}

} // namespace knapweed::steering
