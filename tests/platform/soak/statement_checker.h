#pragma once

#include "request_records.h"

#include <functional>

namespace knapweed::soak {

/** Checks, from what callers and servers saw, that gateways heed what servers have stated to them in answers:
   that they leave, or that they want no requests for a time. */
class statement_checker {
public:
    /** @returns whether an arrival is judged. Its gateway was told at @p since. */
    using judge = std::function<bool(const request_record&, const server_arrival&, core::milliseconds since)>;

    /** @param records must outlive this object. */
    statement_checker(const request_records& records, judge is_judged);

    /** @returns the broken promises on servers that leave, in words. */
    [[nodiscard]] std::vector<std::string> check_leaving() const;
    /** @returns the broken promises on servers that rest, in words. */
    [[nodiscard]] std::vector<std::string> check_rests() const;

    /** @returns the number of processes of gateways, by server, that passed on an answer of one that leaves.
     */
    [[nodiscard]] std::size_t number_told() const;
    /** @returns the number of requests that were turned away with a time of rest. */
    [[nodiscard]] std::size_t number_turned_away() const;
    /** @returns the greatest number of requests that a server got from a gateway that it had asked for rest.
     */
    [[nodiscard]] std::size_t most_during_rest() const;

private:
    /** What one process of a gateway sent one server. */
    struct exchange {
        const request_record* request = nullptr;
        const server_arrival* arrival = nullptr;
    };
    struct process_and_server {
        std::string gateway;
        int incarnation = 0;
        std::string server;
        auto operator<=>(const process_and_server&) const = default;
    };

    [[nodiscard]] static std::optional<core::milliseconds> told_at(const std::vector<exchange>& exchanges);
    [[nodiscard]] std::size_t count_during_rest(const server_arrival& turned_away,
                                                const std::vector<exchange>& exchanges) const;

    judge is_judged_;
    std::map<process_and_server, std::vector<exchange>> exchanges_;
};

} // namespace knapweed::soak
