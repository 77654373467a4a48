#pragma once

#include "stand_ins/http/http_client.h"
#include "stand_ins/load/load_report.h"

namespace knapweed::stand_ins {

/** Reads the statistics and run ledgers of backend servers and compares them with the refused requests.

    The runs of a key are summed over all ledgers, so a non-idempotent request that ran once in each of two
    processes counts as doubled.

    @param refused_keys are the keys of requests whose answers stated that they were not run.
*/
asio::awaitable<backend_report> read_ledgers(http_client& client, std::vector<tcp::endpoint> servers,
                                             const std::set<std::string>& refused_keys);

} // namespace knapweed::stand_ins
