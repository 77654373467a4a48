#pragma once

#include "cut_link.h"
#include "gateway_process.h"
#include "server_stand_in.h"
#include "soak_caller.h"
#include "store_stand_in.h"

namespace knapweed::soak {

/** A gateway with everything that only it sees: callers, a link to each server, and a store whose rows name
    these links. It is alone in its data centre, and unless fewer regions are asked for in its region, so that
    no other gateway tells it of servers. */
class cut_place {
public:
    using server_list = std::vector<std::unique_ptr<server_stand_in>>;

    static constexpr std::size_t number_of_places = 6;

    /** @returns the number of ports that a place with links to that many servers takes. */
    [[nodiscard]] static std::uint16_t number_of_ports(std::size_t servers);
    [[nodiscard]] static const std::vector<std::string>& services();
    [[nodiscard]] static std::string data_centre_name(std::size_t number);

    /** @param number of this place, from 0. @param servers of all places, one a service and place in turn.
        @param first_port of the consecutive ports of this place. @param regions among which the places are
        divided. */
    cut_place(const net::asio::any_io_executor& executor, std::size_t number, const server_list& servers,
              std::uint16_t first_port, std::size_t regions = number_of_places);

    /** @param program path of knapweed-gateway. @param directory for its settings and its log.
        @param previous_program of an earlier build, which the first process runs; or empty. */
    void start_gateway(const std::string& program, const std::string& directory, event_history& history,
                       const std::string& previous_program = {});
    /** @param records and @p history must outlive this object. */
    void start_callers(request_records& records, event_history& history, core::random_source& random);
    void stop_callers();
    void cut(link_cut kind);
    void heal();
    /** Lets the link to a server that has ended refuse connections. */
    void server_ended(std::size_t number);
    /** Writes the row of a server, as ready. */
    void write_entry(std::size_t number, const server_stand_in& server)
    {
        write_server(server, *links_.at(number), number % number_of_places);
    }
    /** Opens the link to a server that has started again, and replaces its row.
        @param old_id of its process before. */
    void server_started(std::size_t number, const server_stand_in& server, const std::string& old_id);
    /** Adds the connections that callers could not open as attempts that failed. */
    void add_failed_connects(request_records& records) const;

    [[nodiscard]] store_stand_in& store() noexcept { return store_; }
    [[nodiscard]] gateway_process& gateway() noexcept { return *gateway_.front(); }
    [[nodiscard]] std::uint16_t peer_port() const noexcept
    {
        return static_cast<std::uint16_t>(gateway_port_ + peer_port_offset);
    }
    /** @returns the near side of the link to some server. */
    [[nodiscard]] net::tcp::endpoint any_server_address() const { return links_.front()->address(); }

private:
    [[nodiscard]] std::string region_name(std::size_t number) const;
    void write_server(const server_stand_in& server, const cut_link& link, std::size_t place);
    void write_configuration();

    net::asio::any_io_executor executor_;
    std::size_t number_;
    std::size_t regions_;
    std::string data_centre_;
    std::uint16_t gateway_port_ = 0;
    store_stand_in store_;
    std::vector<std::unique_ptr<cut_link>> links_;
    soak_caller::gateway_list gateway_; ///< one, to which the callers are pinned
    std::vector<std::unique_ptr<soak_caller>> callers_;
    bool is_cut_ = false;
};

} // namespace knapweed::soak
