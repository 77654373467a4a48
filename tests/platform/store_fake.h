#pragma once

#include "net/upstream_fake.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace knapweed::test {

/** A fake of the platform's metadata store with rows, a feed of changes and injected faults. */
class store_fake {
public:
    /** Fault of all calls from now on: `refuse` answers 503, `silent` does not answer, `lose_history` answers
        reads of the feed with 410, `garbage` answers with malformed rows. */
    enum class fault { none, refuse, silent, lose_history, garbage };

    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
        bool undecoded = false; ///< the value is sent as it is
    };
    using table = std::map<std::string, row>;
    struct table_copy {
        std::map<std::string, table> tables;
        std::uint64_t version = 0;
    };

    store_fake();

    [[nodiscard]] std::string address() const { return server_.address(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    /** Writes a row with @p text in place of the base64 of a value, as another writer may send it. */
    void put_undecoded(const std::string& table, const std::string& key, const std::string& text);
    void remove(const std::string& table, const std::string& key);
    void set_fault(fault new_fault);
    /** Never answers again on the connections that are open now; new ones work. */
    void silence_open_connections();
    /** @returns a copy of the rows, from which the store can come back later. */
    [[nodiscard]] table_copy copy() const;
    /** Comes back from an older copy, in the next era. */
    void restore(const table_copy& older);
    /** Calls a function once, before the page of a list of @p name that begins with the key @p from. */
    void before_page(const std::string& name, const std::string& from, std::function<void()> action);
    /** Discards the history: reads of the feed from an earlier version are answered with 410. */
    void forget_history();
    /** @returns the version of the newest row. */
    [[nodiscard]] std::uint64_t version() const;
    /** Sets the rate at which answers are sent. @param bytes_per_second 0 for no limit. */
    void set_rate(std::size_t bytes_per_second);
    /** @returns whether a row exists and has not been removed. */
    [[nodiscard]] bool has(const std::string& table, const std::string& key) const;
    /** @returns the number of calls received so far. */
    [[nodiscard]] std::size_t calls() const { return server_.requests().size(); }

private:
    struct page_action {
        std::string table;
        std::string from;
        std::function<void()> run;
    };

    scripted_reply answer(const std::string& request);
    void run_page_action(const std::string& target);
    [[nodiscard]] bool is_silenced_connection();
    [[nodiscard]] scripted_reply reply_with(const std::string& body) const;
    [[nodiscard]] std::string make_answer(const std::string& status, const std::string& body) const;
    [[nodiscard]] std::string list(const std::string& target) const;
    [[nodiscard]] std::string feed(const std::string& target);
    void write(const std::string& request);
    [[nodiscard]] std::string describe(const std::string& name, const std::string& key,
                                       const row& content) const;

    mutable std::mutex mutex_;
    std::map<std::string, table> tables_;
    std::uint64_t version_ = 0;
    std::uint64_t history_start_ = 0;
    std::uint64_t era_ = 1;
    page_action before_page_;
    fault fault_ = fault::none;
    std::size_t bytes_per_second_ = 0;
    std::uint64_t silenced_before_ = 0; ///< connections with a smaller number are silent
    /** Numbers of the connections, each of which the server handles on its own thread. */
    std::map<std::thread::id, std::uint64_t> connections_;
    upstream_fake server_;
};

} // namespace knapweed::test
