#pragma once

#include "core/core.h"
#include "net/asio_types.h"

#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace knapweed::soak {

/** What the store does with calls. */
enum class store_fault { none, refuses, silent, slow, loses_answers, writes_late, forgets_history };

/** A stand-in of the platform's metadata store: rows in pages, long polls for changes, and faults. It can
   come back from an older copy of its rows: versions are then given out again, and its era rises. The
   operator and the servers, whose rows the test writes, write again what is lost. */
class store_stand_in {
public:
    /** Is called with table, key and value of each row that a call writes; without a value when it removes
        the row. */
    using write_hook =
        std::function<void(const std::string&, const std::string&, const std::optional<std::string>&)>;

    explicit store_stand_in(net::asio::any_io_executor executor);

    [[nodiscard]] net::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    void set_fault(store_fault fault);
    /** Replaces all rows by those of a time ago. Each row that the test had written or removed since is
       written or removed again later: @param rewritten_after returns when, for a table and a key. */
    void
    restore(core::milliseconds age,
            const std::function<core::milliseconds(const std::string&, const std::string&)>& rewritten_after);
    /** @returns whether a row exists. */
    [[nodiscard]] bool has(const std::string& table, const std::string& key) const;
    void on_write(write_hook hook) { on_write_ = std::move(hook); }
    /** Limits the answers of all connections together. @param rate bytes per second, 0 for no limit. */
    void set_answer_rate(std::size_t rate) { answer_rate_ = rate; }
    /** @returns the bytes of all answers to calls about rows of a table. */
    [[nodiscard]] std::size_t answered_bytes(const std::string& table) const;

private:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    using table_map = std::map<std::string, std::map<std::string, row>>;
    using row_name = std::pair<std::string, std::string>; ///< table and key
    struct answer {
        unsigned status = 200;
        nlohmann::json body = nlohmann::json::object();
    };
    struct past_write {
        std::chrono::steady_clock::time_point at;
        row_name name;
        row written;
    };

    net::asio::awaitable<void> accept();
    net::asio::awaitable<void> serve(net::tcp::socket socket);
    net::asio::awaitable<std::optional<answer>> handle(const request& call);
    net::asio::awaitable<answer> follow(const std::string& table, std::uint64_t after,
                                        core::milliseconds wait);
    [[nodiscard]] nlohmann::json rows_after(const std::string& table, std::uint64_t version,
                                            const std::string& first_key, bool with_removed) const;
    void write(const row_name& name, const std::string& value, bool removed);
    void apply(const nlohmann::json& transaction);
    net::asio::awaitable<void> write_again(row_name name, core::milliseconds after);
    net::asio::awaitable<void> apply_later(nlohmann::json transaction);
    net::asio::awaitable<bool> write_answer(net::tcp::socket& socket, const std::string& text);

    net::asio::any_io_executor executor_;
    net::tcp::acceptor acceptor_;
    table_map tables_;
    std::vector<past_write> past_writes_;
    std::map<row_name, row> owned_rows_; ///< as the test wrote them last
    std::uint64_t version_ = 1;
    std::uint64_t era_ = 1;
    std::uint64_t history_begin_ = 0; ///< changes before it are forgotten
    store_fault fault_ = store_fault::none;
    write_hook on_write_;
    std::size_t answer_rate_ = 0;
    std::chrono::steady_clock::time_point answers_sent_until_; ///< when the path is free again
    std::map<std::string, std::size_t> answered_bytes_;        ///< by table
};

} // namespace knapweed::soak
