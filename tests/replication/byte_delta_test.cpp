#include "replication/replication.h"

#include "core/core.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::replication;

namespace {

std::string random_text(core::random_source& random, std::size_t bytes)
{
    std::string text(bytes, ' ');
    for (auto& c : text)
        c = static_cast<char>('a' + random.below(26));
    return text;
}

/** Replaces, inserts, removes and moves ranges of a text. */
std::string edit(core::random_source& random, std::string text)
{
    for (auto edits = random.below(6); edits > 0; --edits) {
        const auto from = random.below(text.size() + 1);
        const auto bytes = std::min<std::size_t>(random.below(300), text.size() - from);
        const auto range = text.substr(from, bytes);
        switch (random.below(4)) {
        case 0:
            text.erase(from, bytes);
            break;
        case 1:
            text.insert(from, random_text(random, random.below(300)));
            break;
        case 2:
            text.replace(from, bytes, random_text(random, random.below(300)));
            break;
        default:
            text.erase(from, bytes);
            text.insert(random.below(text.size() + 1), range);
        }
    }
    return text;
}

} // namespace

// Guards against a configuration that differs from the one that was written.
TEST_CASE("a delta yields its target, whatever was changed")
{
    core::random_source random(33);
    for (int i = 0; i < 2000; ++i) {
        const auto base = random_text(random, random.below(2000));
        const auto target = edit(random, base);
        INFO("case " << i << ": " << base << " -> " << target);
        const auto parsed = parse_delta(serialise(make_delta(base, target)));
        REQUIRE(parsed);
        REQUIRE(apply_delta(base, *parsed, target.size()) == target);
    }
}

// Guards against small changes of a large configuration that cost as much as the whole.
TEST_CASE("a small change of a large text has a small delta")
{
    core::random_source random(1);
    auto target = random_text(random, 400000);
    const auto base = target;
    for (std::size_t at = 1000; at < target.size(); at += 100000)
        target.replace(at, 3, "new value");
    REQUIRE(serialise(make_delta(base, target)).size() < 200);
}

// Guards against a damaged message that ends the process or takes its memory.
TEST_CASE("a delta that exceeds its base or the limit is refused")
{
    const auto huge = static_cast<std::size_t>(-1);
    REQUIRE_FALSE(apply_delta("abc", {{"", 1, 3}}, 100));
    REQUIRE_FALSE(apply_delta("abc", {{"", huge, 2}}, 100));
    REQUIRE_FALSE(apply_delta("abc", {{"", 0, huge}}, 100));
    REQUIRE_FALSE(apply_delta("abc", {{"xyz", 0, 3}}, 5));
    REQUIRE(apply_delta("abc", {{"xyz", 0, 3}}, 6) == "xyzabc");
}

TEST_CASE("bytes that are damaged or of another size are not unpacked")
{
    const std::string text(5000, 'x');
    auto packed = pack(text);
    REQUIRE(unpack(packed, text.size()) == text);
    REQUIRE_FALSE(unpack(packed, text.size() - 1));
    REQUIRE_FALSE(unpack(packed, text.size() + 1));
    packed[packed.size() / 2] = static_cast<char>(packed[packed.size() / 2] + 1);
    REQUIRE_FALSE(unpack(packed, text.size()));
    REQUIRE(unpack(pack(""), 0) == "");
    // More than the format can expand to isn't even reserved.
    REQUIRE_FALSE(unpack(pack(text), static_cast<std::size_t>(1) << 60U));
    const std::string zeros(32U << 20U, '\0');
    REQUIRE(unpack(pack(zeros), zeros.size()) == zeros);
}
