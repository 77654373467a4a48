#pragma once

#include "core/core.h"

#include <algorithm>
#include <array>
#include <string>

namespace knapweed::test {

/** Damages messages: changes, cuts, doubles and reorders their bytes. The same seed gives the same damage. */
class message_mutator {
public:
    explicit message_mutator(std::uint64_t seed) : random_(seed) {}

    /** @returns the message after one to four random changes. */
    [[nodiscard]] std::string mutate(std::string message)
    {
        const auto changes = 1 + random_.below(4);
        for (std::uint64_t i = 0; i < changes; ++i)
            change(message);
        return message;
    }

    [[nodiscard]] std::uint64_t below(std::uint64_t limit) { return random_.below(limit); }

private:
    void change(std::string& message)
    {
        static constexpr std::array<std::string_view, 8> fragments{
            "\r\n", "\r\n\r\n", "99999999999999999999",    "-1",
            ":",    "\"",       std::string_view("\0", 1), "\xff\xfe"};
        const auto begin = random_.below(message.size() + 1);
        const auto length = random_.below(std::min<std::uint64_t>(message.size() - begin, 40) + 1);
        const auto part = message.substr(begin, length);
        switch (random_.below(6)) {
        case 0:
            if (begin < message.size())
                message[begin] = static_cast<char>(random_.below(256));
            break;
        case 1:
            message.erase(begin, length);
            break;
        case 2:
            message.insert(begin, part);
            break;
        case 3:
            message.erase(begin, length);
            message.insert(random_.below(message.size() + 1), part);
            break;
        case 4:
            message.resize(begin);
            break;
        default:
            message.insert(begin, fragments.at(random_.below(fragments.size())));
        }
    }

    core::random_source random_;
};

} // namespace knapweed::test
