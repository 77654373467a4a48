#include "decision/crash_guard.h"

#include <algorithm>

namespace knapweed::decision {

namespace {

std::uint64_t unix_ms(core::wall_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<core::milliseconds>(time.time_since_epoch()).count());
}

wire::quarantine_notice notice_of(core::fingerprint fingerprint, std::uint64_t expires_unix_ms, bool lifted)
{
    wire::quarantine_notice notice;
    notice.set_fingerprint(fingerprint.value);
    notice.set_expires_unix_ms(expires_unix_ms);
    notice.set_lifted(lifted);
    return notice;
}

} // namespace

crash_guard::crash_guard(const core::clock& time, crash_guard_options options)
    : time_(time), options_(options)
{
    core::ensure(options.capacity > 0, "crash_guard_options::capacity must be at least 1");
}

bool crash_guard::is_suspect(core::fingerprint fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found != suspects_.end() && found->second.expires > time_.now();
}

bool crash_guard::is_quarantined(core::fingerprint fingerprint) const
{
    const auto found = quarantined_.find(fingerprint);
    return found != quarantined_.end() && found->second.expires > time_.now();
}

std::optional<wire::quarantine_notice> crash_guard::server_died(const server_death& death)
{
    tick();
    for (const auto fingerprint : death.running)
        insert(suspects_, fingerprint).expires = time_.now() + options_.suspect_lifetime;
    if (!death.solitary || death.running.size() != 1)
        return std::nullopt;
    const auto fingerprint = death.running.front();
    if (++suspects_.at(fingerprint).deaths < options_.deaths_to_quarantine)
        return std::nullopt;
    suspects_.erase(fingerprint);
    lifted_.erase(fingerprint);
    auto& entry = insert(quarantined_, fingerprint);
    entry.expires = time_.now() + options_.quarantine_lifetime;
    entry.expires_unix_ms = unix_ms(time_.wall_now() + options_.quarantine_lifetime);
    return notice_of(fingerprint, entry.expires_unix_ms, false);
}

void crash_guard::succeeded(core::fingerprint fingerprint)
{
    suspects_.erase(fingerprint);
}

bool crash_guard::receive(const wire::quarantine_notice& notice)
{
    tick();
    const core::fingerprint fingerprint{notice.fingerprint()};
    const auto now_ms = unix_ms(time_.wall_now());
    if (notice.expires_unix_ms() <= now_ms)
        return false;
    // The peer's clock may be ahead, so the time left is limited to the length of a quarantine that starts
    // now.
    const auto left = std::min<std::uint64_t>(
        notice.expires_unix_ms() - now_ms, static_cast<std::uint64_t>(options_.quarantine_lifetime.count()));
    const quarantine_entry received{time_.now() + core::milliseconds{left}, notice.expires_unix_ms()};
    if (notice.lifted()) {
        quarantined_.erase(fingerprint);
        suspects_.erase(fingerprint);
        insert(lifted_, fingerprint) = received;
        return false;
    }
    const auto lifted = lifted_.find(fingerprint);
    if (lifted != lifted_.end() && notice.expires_unix_ms() <= lifted->second.expires_unix_ms)
        return false;
    suspects_.erase(fingerprint);
    insert(quarantined_, fingerprint) = received;
    return true;
}

std::optional<wire::quarantine_notice> crash_guard::release(core::fingerprint fingerprint)
{
    tick();
    const auto found = quarantined_.find(fingerprint);
    if (found == quarantined_.end())
        return std::nullopt;
    const quarantine_entry entry = found->second;
    quarantined_.erase(found);
    insert(lifted_, fingerprint) = entry;
    return notice_of(fingerprint, entry.expires_unix_ms, true);
}

std::vector<wire::quarantine_notice> crash_guard::notices() const
{
    std::vector<wire::quarantine_notice> all;
    for (const auto& [fingerprint, entry] : quarantined_) {
        if (entry.expires > time_.now())
            all.push_back(notice_of(fingerprint, entry.expires_unix_ms, false));
    }
    return all;
}

void crash_guard::tick()
{
    const auto expired = [now = time_.now()](const auto& entry) { return entry.second.expires <= now; };
    std::erase_if(suspects_, expired);
    std::erase_if(quarantined_, expired);
    std::erase_if(lifted_, expired);
}

template <typename Value>
Value& crash_guard::insert(table<Value>& entries, core::fingerprint fingerprint)
{
    if (entries.size() >= options_.capacity && !entries.contains(fingerprint)) {
        entries.erase(std::min_element(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
            return a.second.expires < b.second.expires;
        }));
    }
    return entries[fingerprint];
}

} // namespace knapweed::decision
