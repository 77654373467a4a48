#include "steering/request_quarantine.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Time without a further end after which evidence is forgotten: that against a request that is not
   quarantined, and that of a quarantine. Each time that a quarantine expires may cost three servers. */
constexpr core::milliseconds suspicion_lifetime{600000};
constexpr core::milliseconds quarantine_lifetime{3600000};
/** Time for which an entry without ends is kept and an answer is reported. */
constexpr core::milliseconds answer_lifetime{10000};
constexpr std::size_t max_entries = 2048;
/** Limit of the reports in a message, of which each takes at most 70 bytes. */
constexpr std::size_t max_reports = 64;
constexpr std::size_t max_reported_ends = 8;
constexpr std::size_t suspected_sequence = 2;
/** A message may take this long; what it reports is older by as much than it states. */
constexpr core::milliseconds transit_allowance{150};
/** An answer that is reported again seems younger each time, by the time that the message took. */
constexpr core::milliseconds same_answer{500};

/** @returns the number of ends in sequence that the sender knows, by its own clock, without those up to
   @p answered_age ago. */
std::size_t reported_sequence(const crash_report& report, std::optional<core::milliseconds> answered_age)
{
    crash_evidence evidence;
    bool all_count = true;
    for (std::size_t i = 0; i < std::min(report.ends.size(), max_reported_ends); ++i) {
        const auto& end = report.ends[i];
        const bool counts = !answered_age || end.ended_age < *answered_age;
        all_count = all_count && counts;
        if (counts)
            evidence.add(
                {end.process, core::time_point() - end.began_age, core::time_point() - end.ended_age});
    }
    // The sender may know the order from another instance, and can't derive it from the times.
    return all_count ? std::max(evidence.sequence(), suspected_sequence) : evidence.sequence();
}

} // namespace

std::optional<crash_suspicion> request_quarantine::entry::suspicion() const
{
    if (is_quarantined)
        return crash_suspicion::quarantined;
    return evidence.is_suspected() ? std::optional(crash_suspicion::suspected) : std::nullopt;
}

bool request_quarantine::refuses(request_plan& plan) const
{
    if (targets_.empty() || !targets_.contains(target_hash(plan.identity)))
        return false;
    plan.fingerprints = fingerprints_of(plan.identity);
    const auto fingerprints = plan.fingerprints->all();
    return std::any_of(fingerprints.begin(), fingerprints.end(), [this](core::fingerprint request) {
        const auto found = entries_.find(request);
        return found != entries_.end() && found->second.is_quarantined;
    });
}

bool request_quarantine::record_loss(request_plan& plan, const server_pointer& server, core::time_point sent)
{
    if (plan.identity.target.empty())
        return false;
    if (!plan.fingerprints)
        plan.fingerprints = fingerprints_of(plan.identity);
    server_ends_.record_loss(server, {*plan.fingerprints, sent, time_.now()});
    bool is_suspected = false;
    for (const auto request : plan.fingerprints->all()) {
        find_or_add(request); // so that an answer before the confirmation clears the request
        is_suspected = is_suspected || evidence_with_losses(request).is_suspected();
    }
    return is_suspected;
}

crash_evidence request_quarantine::evidence_with_losses(core::fingerprint request) const
{
    crash_evidence evidence;
    if (const auto found = entries_.find(request); found != entries_.end())
        evidence = found->second.evidence;
    server_ends_.visit_unconfirmed([&](const backend_server& server, const auto& lost_requests) {
        for (const auto& lost : lost_requests) {
            const auto fingerprints = lost.fingerprints.all();
            if (std::find(fingerprints.begin(), fingerprints.end(), request) != fingerprints.end())
                evidence.add({process_hash(server.record()), lost.sent, lost.lost});
        }
    });
    return evidence;
}

void request_quarantine::record_answer(const request_plan& plan)
{
    if (!plan.fingerprints)
        return;
    bool has_cleared = false;
    for (const auto request : plan.fingerprints->all())
        has_cleared = clear(request, time_.now(), crash_suspicion::answered) || has_cleared;
    has_news_ = has_news_ || has_cleared;
    attribute_ends();
}

void request_quarantine::release(core::fingerprint request)
{
    if (clear(request, time_.now(), crash_suspicion::released))
        has_news_ = true;
    attribute_ends();
}

bool request_quarantine::clear(core::fingerprint request, core::time_point when, crash_suspicion cause)
{
    const auto found = entries_.find(request);
    if (found == entries_.end())
        return false;
    auto& known = found->second;
    const auto before = known.suspicion();
    if (!known.evidence.answered(when))
        return false;
    known.changed = time_.now();
    evidence_changed_ = true;
    known.is_quarantined = known.is_quarantined && known.evidence.is_conclusive();
    if (before && !known.suspicion())
        notify(request, known.evidence, cause);
    return true;
}

request_quarantine::entry& request_quarantine::find_or_add(core::fingerprint request)
{
    if (const auto found = entries_.find(request); found != entries_.end())
        return found->second;
    if (entries_.size() >= max_entries) {
        erase(std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.is_quarantined, a.second.changed) <
                   std::pair(b.second.is_quarantined, b.second.changed);
        }));
    }
    ++targets_[target_hash(request)];
    return entries_[request] = {{}, time_.now()};
}

void request_quarantine::erase(entries::iterator found)
{
    const auto target = targets_.find(target_hash(found->first));
    if (--target->second == 0)
        targets_.erase(target);
    entries_.erase(found);
}

bool request_quarantine::add_end(core::fingerprint request, const server_end& end)
{
    ended_processes_.record(end.process, target_hash(request), end.ended);
    auto& known = find_or_add(request);
    const auto before = known.suspicion();
    if (!known.evidence.add(end))
        return false;
    known.changed = time_.now();
    evidence_changed_ = true;
    if (const auto after = known.suspicion(); after && after != before)
        notify(request, known.evidence, *after);
    return true;
}

void request_quarantine::attribute_ends()
{
    if (!std::exchange(evidence_changed_, false))
        return;
    crash_attribution attribution(ended_processes_);
    for (const auto& [request, known] : entries_)
        attribution.add(request, known.evidence);
    for (auto& [request, known] : entries_) {
        if (known.is_quarantined || !attribution.is_cause(request, known.evidence))
            continue;
        known.is_quarantined = true;
        notify(request, known.evidence, crash_suspicion::quarantined);
    }
}

void request_quarantine::notify(core::fingerprint request, const crash_evidence& evidence,
                                crash_suspicion suspicion) const
{
    if (on_change_)
        on_change_({request, suspicion, evidence.ends()});
}

bool request_quarantine::add_ends(const crash_report& report)
{
    const auto now = time_.now();
    bool is_new = false;
    for (std::size_t i = 0; i < std::min(report.ends.size(), max_reported_ends); ++i) {
        const auto& end = report.ends[i];
        if (end.ended_age >= quarantine_lifetime)
            continue;
        const auto began_age = std::max(end.began_age, end.ended_age) + transit_allowance;
        is_new = add_end(report.request, {end.process, now - began_age, now - end.ended_age}) || is_new;
    }
    const auto found = entries_.find(report.request);
    if (!report.suspected || found == entries_.end())
        return is_new;
    auto& known = found->second;
    const auto before = known.suspicion();
    std::optional<core::milliseconds> answered_age;
    if (const auto answered_at = known.evidence.answered_at())
        answered_age = std::chrono::duration_cast<core::milliseconds>(now - *answered_at);
    const auto sequence = reported_sequence(report, answered_age);
    evidence_changed_ = known.evidence.add_sequence(sequence) || evidence_changed_;
    if (const auto after = known.suspicion(); after && after != before)
        notify(report.request, known.evidence, *after);
    return is_new;
}

void request_quarantine::receive(const std::vector<crash_report>& reports, bool forwards)
{
    const auto now = time_.now();
    for (std::size_t i = 0; i < std::min(reports.size(), max_reports); ++i) {
        const auto& report = reports[i];
        bool is_new = false;
        if (report.answered_age) {
            const auto when = now - *report.answered_age;
            const auto known = entries_.find(report.request);
            const bool is_known = known != entries_.end() && known->second.evidence.answered_at() &&
                                  when <= *known->second.evidence.answered_at() + same_answer;
            is_new = !is_known && clear(report.request, when, crash_suspicion::answered);
        }
        is_new = add_ends(report) || is_new;
        has_news_ = has_news_ || (is_new && forwards);
    }
    attribute_ends();
}

std::vector<crash_report> request_quarantine::reports() const
{
    const auto now = time_.now();
    std::vector<entries::const_iterator> chosen;
    for (auto found = entries_.begin(); found != entries_.end(); ++found) {
        const auto& known = found->second;
        const bool answered_lately = known.evidence.answered_at() && now - known.changed < answer_lifetime;
        if (!known.evidence.ends().empty() || answered_lately)
            chosen.push_back(found);
    }
    const auto end = chosen.begin() + static_cast<std::ptrdiff_t>(std::min(chosen.size(), max_reports));
    std::partial_sort(chosen.begin(), end, chosen.end(), [](const auto& a, const auto& b) {
        return std::pair(a->second.is_quarantined, a->second.changed) >
               std::pair(b->second.is_quarantined, b->second.changed);
    });
    chosen.erase(end, chosen.end());
    const auto age = [now](core::time_point when) {
        return std::chrono::duration_cast<core::milliseconds>(now - when);
    };
    std::vector<crash_report> result;
    for (const auto& found : chosen) {
        crash_report report{found->first, {}, std::nullopt, found->second.evidence.is_suspected()};
        for (const auto& known : found->second.evidence.ends())
            report.ends.push_back({known.process, age(known.began), age(known.ended)});
        if (const auto answered_at = found->second.evidence.answered_at())
            report.answered_age = age(*answered_at);
        result.push_back(std::move(report));
    }
    return result;
}

std::size_t request_quarantine::quarantined() const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [](const auto& known) { return known.second.is_quarantined; }));
}

void request_quarantine::forget_old_entries()
{
    ended_processes_.forget(time_.now() - suspicion_lifetime);
    for (auto found = entries_.begin(); found != entries_.end();) {
        const auto current = found++;
        const auto& known = current->second;
        core::duration lifetime = answer_lifetime;
        if (!known.evidence.ends().empty())
            lifetime = known.is_quarantined ? quarantine_lifetime : suspicion_lifetime;
        if (time_.now() - known.changed < lifetime)
            continue;
        if (known.suspicion())
            notify(current->first, known.evidence, crash_suspicion::expired);
        erase(current);
    }
}

bool request_quarantine::tick(link_state links)
{
    for (const auto& confirmed : server_ends_.take_confirmed(links)) {
        const auto process = process_hash(confirmed.server->record());
        for (const auto& lost : confirmed.requests) {
            for (const auto request : lost.fingerprints.all())
                has_news_ = add_end(request, {process, lost.sent, lost.lost}) || has_news_;
        }
        if (on_server_end_)
            on_server_end_(confirmed);
    }
    attribute_ends();
    forget_old_entries();
    return std::exchange(has_news_, false);
}

} // namespace knapweed::steering
