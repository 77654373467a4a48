#pragma once

#include "core/core.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace knapweed::soak {

/** Writes what happens in a run to a file, one JSON object a line with the milliseconds since the start. */
class event_history {
public:
    event_history(const std::string& file, const core::clock& time)
        : file_(file), time_(time), start_(time.now())
    {}

    [[nodiscard]] core::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<core::milliseconds>(time_.now() - start_);
    }

    /** @param fields more fields of the line, for instance the request's id as `request`. */
    void add(const std::string& event, nlohmann::json fields)
    {
        fields["ms"] = elapsed().count();
        fields["event"] = event;
        file_ << fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    }

private:
    std::ofstream file_;
    const core::clock& time_;
    core::time_point start_;
};

/** Prints the lines of a history that concern one request, and all faults. @returns false when it can't be
 * read. */
[[nodiscard]] inline bool print_timeline(const std::string& file, const std::string& request)
{
    std::ifstream input(file);
    std::string line;
    while (std::getline(input, line)) {
        const auto entry = nlohmann::json::parse(line, nullptr, false);
        if (entry.is_object() && entry.value("request", request) == request)
            std::puts(line.c_str());
    }
    return input.eof();
}

} // namespace knapweed::soak
