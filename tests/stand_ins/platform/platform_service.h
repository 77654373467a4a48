#pragma once

#include "stand_ins/http/http_server.h"
#include "stand_ins/http/lagged_value.h"
#include "stand_ins/platform/fault_plan.h"
#include "stand_ins/platform/table_store.h"

namespace knapweed::stand_ins {

/** Emulates the table service, object store and instance list of docs/interfaces.md, with fault injection.

    `POST /faults` replaces the fault plan, `PUT /instances` replaces the instance list after a lag, and
    `GET /statistics` returns counts of calls. Faults do not apply to these three.
*/
class platform_service {
public:
    /** @param instance_lag is the time after which `PUT /instances` takes effect.
        @param instances is the initial answer of `GET /instances`.
    */
    platform_service(const asio::any_io_executor& executor, const core::clock& clock,
                     core::milliseconds instance_lag, nlohmann::json instances);

    /** @see http_server::listen */
    void listen(std::uint16_t port) { server_.listen(port); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    asio::awaitable<std::optional<http_response>> answer(http_request request);
    asio::awaitable<void> wait(core::duration time);
    http_response handle_request(const http_request& request, const std::string& path);
    http_response read_row(const std::string& path);
    http_response commit(const http_request& request);
    http_response handle_object_request(const http_request& request, const std::string& name);
    std::optional<http_response> handle_control_request(const http_request& request, const std::string& path);
    http_response replace_instances(const http_request& request);
    http_response replace_faults(const http_request& request);
    [[nodiscard]] nlohmann::json statistics() const;

    asio::any_io_executor executor_;
    table_store tables_;
    std::map<std::string, std::string> objects_;
    lagged_value<nlohmann::json> instances_;
    fault_plan faults_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t conflicts_ = 0;
    std::uint64_t lost_answers_ = 0;
    std::uint64_t refused_by_outage_ = 0;
    http_server server_;
};

} // namespace knapweed::stand_ins
