#pragma once

#include <string>
#include <string_view>

namespace knapweed::test {

/** @returns the value of a parameter of a target's query, with its percent-encoded bytes decoded; empty when
 * absent. */
inline std::string query_parameter(std::string_view target, std::string_view name)
{
    constexpr int hexadecimal = 16;
    auto begin = target.find('?');
    while (begin != std::string_view::npos) {
        const auto end = target.find('&', begin + 1);
        auto pair = target.substr(begin + 1, end == std::string_view::npos ? end : end - begin - 1);
        begin = end;
        if (!pair.starts_with(name) || pair.substr(name.size(), 1) != "=")
            continue;
        pair.remove_prefix(name.size() + 1);
        std::string value;
        for (std::size_t i = 0; i < pair.size(); ++i) {
            const bool encoded = pair[i] == '%' && i + 2 < pair.size();
            value +=
                encoded
                    ? static_cast<char>(std::stoi(std::string(pair.substr(i + 1, 2)), nullptr, hexadecimal))
                    : pair[i];
            i += encoded ? 2 : 0;
        }
        return value;
    }
    return {};
}

} // namespace knapweed::test
