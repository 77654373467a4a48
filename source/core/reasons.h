#pragma once

#include "core/name_table.h"

namespace knapweed::core {

/** Why a request was refused. A refused request has not been run. */
enum class refusal_reason {
    malformed_request,
    unknown_service,
    unknown_path,
    body_too_large,
    header_too_large,
    damaged_ticket,
    ticket_expired,
    key_reused,
    owner_lost,
    witness_unavailable,
    claim_unavailable,
    record_table_full,
    no_backend_server,
    no_credit,
    queue_full,
    deadline_unmeetable,
    expired_in_queue,
    shift_cap,
    link_budget,
    retry_budget,
    quarantined,
    server_refused,
    overloaded,
    leaving,
    not_pool_owner,
    cancelled_by_caller,
    no_configuration,
    no_free_slot,
    configuration_outdated,
    no_body_space,
    unknown_api_key,
    quota_exceeded
};

template <>
struct names_of<refusal_reason> {
    static constexpr std::array<std::string_view, 32> table{"malformed_request",
                                                            "unknown_service",
                                                            "unknown_path",
                                                            "body_too_large",
                                                            "header_too_large",
                                                            "damaged_ticket",
                                                            "ticket_expired",
                                                            "key_reused",
                                                            "owner_lost",
                                                            "witness_unavailable",
                                                            "claim_unavailable",
                                                            "record_table_full",
                                                            "no_backend_server",
                                                            "no_credit",
                                                            "queue_full",
                                                            "deadline_unmeetable",
                                                            "expired_in_queue",
                                                            "shift_cap",
                                                            "link_budget",
                                                            "retry_budget",
                                                            "quarantined",
                                                            "server_refused",
                                                            "overloaded",
                                                            "leaving",
                                                            "not_pool_owner",
                                                            "cancelled_by_caller",
                                                            "no_configuration",
                                                            "no_free_slot",
                                                            "configuration_outdated",
                                                            "no_body_space",
                                                            "unknown_api_key",
                                                            "quota_exceeded"};
};

/** Why the outcome of a request is unknown: it may have been run, at most once. */
enum class unknown_reason {
    owner_lost,
    witness_lost,
    record_expired,
    server_died,
    server_timeout,
    connection_lost,
    answer_truncated,
    answer_not_kept,
    answer_invalid
};

template <>
struct names_of<unknown_reason> {
    static constexpr std::array<std::string_view, 9> table{
        "owner_lost",      "witness_lost",     "record_expired",  "server_died",   "server_timeout",
        "connection_lost", "answer_truncated", "answer_not_kept", "answer_invalid"};
};

/** Why a request was tried again. */
enum class retry_reason {
    not_sent,
    pool_refused,
    server_shed,
    server_died,
    server_timeout,
    preempted,
    wrong_server,
    answer_invalid,
    server_failed
};

template <>
struct names_of<retry_reason> {
    static constexpr std::array<std::string_view, 9> table{"not_sent",     "pool_refused",   "server_shed",
                                                           "server_died",  "server_timeout", "preempted",
                                                           "wrong_server", "answer_invalid", "server_failed"};
};

} // namespace knapweed::core
