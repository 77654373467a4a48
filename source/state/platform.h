#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace knapweed::state {

/** Reads one row of the table service. */
struct row_read {
    std::string table;
    std::string key;
};

/** Condition that a row has this version; 0 means that the row must not exist. */
struct row_condition {
    std::string table;
    std::string key;
    std::uint64_t version = 0;
};

/** Writes or deletes one row. */
struct row_write {
    std::string table;
    std::string key;
    std::optional<std::string> value; ///< if empty, the row is deleted
};

/** Writes all rows, or none when a condition does not hold. */
struct row_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/** Reads one object of the object store. */
struct object_read {
    std::string name;
};

/** Writes one object of the object store, unconditionally. */
struct object_write {
    std::string name;
    std::string body;
};

/** Reads the platform's list of live and leaving instances. */
struct instance_list_read {};

using platform_operation =
    std::variant<row_read, row_transaction, object_read, object_write, instance_list_read>;

/** One call to the platform. When no reply arrives before the timeout, its status is `timed_out`. */
struct platform_call {
    core::call_id call;
    core::milliseconds timeout{1000};
    platform_operation operation;
};

enum class platform_status {
    ok,
    not_found,
    conflict,    ///< a condition does not hold; nothing was written
    unreachable, ///< the call was not sent; nothing was written
    timed_out    ///< the answer was lost; a write may have taken effect
};

/** An instance in the platform's list, which lags behind the actual state. */
struct listed_instance {
    core::instance_id instance;
    std::string address;
    core::data_centre_id data_centre;
    core::region_id region;
    bool leaving = false;
};

/** Result of one call to the platform. */
struct platform_reply {
    core::call_id call;
    platform_status status = platform_status::timed_out;
    std::uint64_t version = 0;              ///< version of the row that was read or written
    std::string body;                       ///< value of the row or object that was read
    std::vector<listed_instance> instances; ///< result of `instance_list_read`
};

} // namespace knapweed::state
