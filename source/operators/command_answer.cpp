#include "operators/command_answer.h"

#include <array>
#include <cstdio>

namespace knapweed::operators {

command_answer refuse(const std::string& reason)
{
    return {false, {{"error", reason}, {"text", "refused: " + reason}}};
}

command_answer refuse(const command_error& error)
{
    return refuse(describe(error));
}

command_answer unknown_name(const std::string& kind, const std::string& name,
                            const std::vector<std::string>& known)
{
    return refuse(command_error{{}, "no " + kind + " is named " + name, closest_word(name, known)});
}

std::int64_t to_milliseconds(core::duration time)
{
    return std::chrono::duration_cast<core::milliseconds>(time).count();
}

nlohmann::json age_or_null(const std::optional<core::duration>& age)
{
    return age ? nlohmann::json(to_milliseconds(*age)) : nlohmann::json();
}

std::string percent(double share)
{
    constexpr double hundred = 100;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f%%", share * hundred);
    return text.data();
}

} // namespace knapweed::operators
