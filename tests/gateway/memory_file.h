#pragma once

#include <string>

namespace knapweed::test {

/** A file in memory, which the log of a fixture is written to. */
class memory_file {
public:
    memory_file();
    memory_file(const memory_file&) = delete;
    memory_file& operator=(const memory_file&) = delete;
    ~memory_file();

    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
    /** @returns what was written since the last call. */
    [[nodiscard]] std::string take();

private:
    int descriptor_;
};

} // namespace knapweed::test
