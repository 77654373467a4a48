#pragma once

#include "net/upstream_fake.h"

#include <map>
#include <mutex>
#include <string>

namespace knapweed::test {

/** A small stand-in of the platform's metadata store: rows, a feed with a history, and faults. */
class store_fake {
public:
    enum class fault { none, refuse, silent, lose_history, garbage };

    store_fake();

    [[nodiscard]] std::string address() const { return server_.address(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    void set_fault(fault now);
    [[nodiscard]] bool has(const std::string& table, const std::string& key) const;
    [[nodiscard]] std::size_t calls() const { return server_.requests().size(); }

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    using table = std::map<std::string, row>;

    scripted_reply answer(const std::string& request);
    [[nodiscard]] std::string list(const std::string& target) const;
    [[nodiscard]] std::string feed(const std::string& target);
    void write(const std::string& request);
    [[nodiscard]] std::string describe(const std::string& name, const std::string& key,
                                       const row& each) const;

    mutable std::mutex mutex_;
    std::map<std::string, table> tables_;
    std::uint64_t version_ = 0;
    fault fault_ = fault::none;
    upstream_fake server_;
};

} // namespace knapweed::test
