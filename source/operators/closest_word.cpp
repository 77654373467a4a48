#include "operators/command.h"

#include <algorithm>
#include <numeric>

namespace knapweed::operators {

namespace {

/** @returns how many letters have to be inserted, deleted, replaced or swapped with the next one. */
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> previous_row_but_one;
    std::vector<std::size_t> previous_row(b.size() + 1);
    std::iota(previous_row.begin(), previous_row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::vector<std::size_t> row(b.size() + 1, i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = previous_row[j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({previous_row[j] + 1, row[j - 1] + 1, replaced});
            if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
                row[j] = std::min(row[j], previous_row_but_one[j - 2] + 1);
        }
        previous_row_but_one = std::exchange(previous_row, std::move(row));
    }
    return previous_row.back();
}

} // namespace

std::string closest_word(std::string_view misspelt, const std::vector<std::string>& words)
{
    constexpr std::size_t longest_word = 64; // limits the work for malicious input
    if (misspelt.empty() || misspelt.size() > longest_word)
        return {};
    std::string closest;
    std::size_t limit = std::max<std::size_t>(1, misspelt.size() / 3) + 1;
    for (const auto& word : words) {
        const auto distance = edit_distance(misspelt, word);
        if (distance < limit) {
            limit = distance;
            closest = word;
        }
    }
    return closest;
}

std::string describe(const command_error& error)
{
    std::string text = error.message;
    if (error.position)
        text += " at position " + std::to_string(*error.position + 1);
    if (!error.suggestion.empty())
        text += "; did you mean `" + error.suggestion + "`?";
    return text;
}

} // namespace knapweed::operators
