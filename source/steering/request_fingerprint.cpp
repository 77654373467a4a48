#include "steering/request_fingerprint.h"

namespace knapweed::steering {

namespace {

constexpr unsigned target_shift = 32;

core::fingerprint combine(std::uint32_t target, std::uint64_t rest)
{
    return {(std::uint64_t{target} << target_shift) | static_cast<std::uint32_t>(rest)};
}

} // namespace

std::uint32_t target_hash(const request_identity& identity)
{
    return static_cast<std::uint32_t>(core::hash_parts({identity.host, identity.method, identity.target}));
}

std::uint32_t target_hash(core::fingerprint fingerprint)
{
    return static_cast<std::uint32_t>(fingerprint.value >> target_shift);
}

request_fingerprints fingerprints_of(const request_identity& identity)
{
    const auto target = target_hash(identity);
    const auto body = core::hash_text(identity.body);
    return {combine(target, body), combine(target, core::hash_text(identity.caller, body + 1))};
}

} // namespace knapweed::steering
