#include <LibSteering/TargetSelector.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <iterator>

namespace Sapphire {

namespace {

// A target that observers report as down may still work; one trial request per this interval finds out.
constexpr Milliseconds downTrialInterval { 5'000 };

/// Removes the candidates that the predicate rejects, unless it rejects all of them.
void prefer(auto &candidates, auto isPreferred)
{
    const auto end = std::stable_partition(candidates.begin(), candidates.end(), isPreferred);
    if (end != candidates.begin()) {
        candidates.erase(end, candidates.end());
    }
}

} // namespace

void TargetSelector::setTargets(const std::vector<SelectableTarget> &targets, TimePoint now)
{
    std::set<TargetId> known;
    for (const SelectableTarget &target : targets) {
        known.insert(target.id);
        const auto [entry, isNew] =
            m_entries.try_emplace(target.id, Entry { TargetState(target.id, target.slots, m_hasTargets, now) });
        entry->second.state.setSlots(target.slots);
        entry->second.state.setDrained(target.isDrained, now);
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (known.contains(entry->first)) {
            ++entry;
        } else {
            m_ejection.remove(entry->first);
            entry = m_entries.erase(entry);
        }
    }
    m_hasTargets = m_hasTargets || !targets.empty();
    rankVms();
}

void TargetSelector::setVms(const VmId &own, const std::vector<VmId> &vmsOfRegion)
{
    m_ownVm = own;
    m_vms = vmsOfRegion;
    rankVms();
}

Selection TargetSelector::select(TimePoint now, RandomSource &random, const std::set<TargetId> &excluded,
                                 bool mayBeTrial)
{
    std::vector<const Entry *> working;
    std::vector<const Entry *> down;
    std::vector<const Entry *> trials;
    std::vector<const Entry *> paused;
    for (auto &[target, entry] : m_entries) {
        entry.state.advance(now);
        if (excluded.contains(target) || entry.state.isDraining()) {
            continue;
        }
        if (!entry.pausedUntil.hasPassed(now)) {
            paused.push_back(&entry);
            continue;
        }
        if (takesWork(entry, now)) {
            working.push_back(&entry);
            continue;
        }
        down.push_back(&entry);
        if (isTrialDue(entry, now)) {
            trials.push_back(&entry);
        }
    }
    std::vector<const Entry *> available;
    std::copy_if(working.begin(), working.end(), std::back_inserter(available), [&](const Entry *entry) {
        return hasCapacity(*entry, now);
    });
    if (!trials.empty() && (mayBeTrial || available.empty())) {
        return { SelectionEnd::Selected, trials[random.below(trials.size())]->state.target(), true };
    }
    if (available.empty()) {
        std::copy_if(working.begin(), working.end(), std::back_inserter(available), [&](const Entry *entry) {
            return hasProvenCapacity(*entry, now);
        });
    }
    prefer(available, [&](const Entry *entry) {
        return random.unit() < entry->state.slowStartFraction();
    });
    prefer(available, [&](const Entry *entry) {
        return entry->state.inFlight() < share(*entry, now);
    });
    const Entry *chosen = lessLoaded(available, now, random);
    if (chosen == nullptr && working.empty() && !paused.empty()) {
        return allPaused(paused, now, random);
    }
    if (chosen == nullptr) {
        return notSelected(working, down, now);
    }
    return { SelectionEnd::Selected, chosen->state.target() };
}

bool TargetSelector::takesWork(const Entry &entry, TimePoint now) const
{
    return !m_ejection.isEjected(entry.state.target()) && !entry.state.isReportedDown(now);
}

bool TargetSelector::isTrialDue(const Entry &entry, TimePoint now) const
{
    const TargetId &target = entry.state.target();
    const bool isDownTrialDue = !entry.isDownTrialInProgress && entry.nextDownTrial.hasPassed(now);
    if (entry.state.isReportedDown(now)) {
        return isDownTrialDue && (!m_ejection.isEjected(target) || m_ejection.mayTry(target, now));
    }
    return m_ejection.mayTry(target, now);
}

void TargetSelector::rankVms()
{
    for (auto &[target, entry] : m_entries) {
        const std::uint64_t ownRank = rendezvousRank(target.text(), m_ownVm.text());
        const auto better = std::count_if(m_vms.begin(), m_vms.end(), [&, &id = target](const VmId &vm) {
            return rendezvousRank(id.text(), vm.text()) > ownRank;
        });
        entry.rank = static_cast<std::size_t>(better);
    }
}

int TargetSelector::share(const Entry &entry, TimePoint now) const
{
    const int limit = entry.state.limit(now);
    if (m_vms.empty()) {
        return limit;
    }
    const auto slots = static_cast<std::size_t>(entry.state.slots(now));
    const std::size_t share = slots / m_vms.size() + (entry.rank < slots % m_vms.size() ? 1 : 0);
    return std::min(limit, static_cast<int>(share));
}

bool TargetSelector::hasCapacity(const Entry &entry, TimePoint now) const
{
    const TargetState &state = entry.state;
    const int limit = m_policy == SlotPolicy::Divided ? share(entry, now) : state.limit(now);
    return state.inFlight() < limit && state.fullUntil().hasPassed(now)
        && state.effectiveLoad(now) <= state.slots(now) - 1;
}

bool TargetSelector::hasProvenCapacity(const Entry &entry, TimePoint now) const
{
    const TargetState &state = entry.state;
    if (m_policy == SlotPolicy::Divided || !state.fullUntil().hasPassed(now) || state.slowStartFraction() < 1) {
        return false;
    }
    return state.inFlight() < state.configuredSlots() && state.inFlight() <= state.provenInFlight(now);
}

double TargetSelector::utilization(const Entry &entry, TimePoint now) const
{
    return entry.state.effectiveLoad(now) / entry.state.limit(now);
}

const TargetSelector::Entry *TargetSelector::lessLoaded(const std::vector<const Entry *> &candidates, TimePoint now,
                                                        RandomSource &random) const
{
    if (candidates.size() < 2) {
        return candidates.empty() ? nullptr : candidates.front();
    }
    const std::size_t first = random.below(candidates.size());
    std::size_t second = random.below(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    const bool isSecondLess = utilization(*candidates[second], now) < utilization(*candidates[first], now);
    return candidates[isSecondLess ? second : first];
}

Selection TargetSelector::notSelected(const std::vector<const Entry *> &working, const std::vector<const Entry *> &down,
                                      TimePoint now) const
{
    Selection selection;
    for (const Entry *entry : working) {
        selection.end = SelectionEnd::AllFull;
        const Deadline until = entry->state.fullUntil();
        if (!until.hasPassed(now)) {
            selection.retryAt = selection.retryAt ? selection.retryAt->earlier(until) : until;
        }
    }
    if (!working.empty() || down.empty()) {
        return selection;
    }
    selection.end = SelectionEnd::NoneHealthy;
    for (const Entry *entry : down) {
        const Deadline until = m_ejection.nextTrialAt(entry->state.target());
        if (!until.hasPassed(now)) {
            selection.retryAt = selection.retryAt ? selection.retryAt->earlier(until) : until;
        }
    }
    return selection;
}

Selection TargetSelector::allPaused(const std::vector<const Entry *> &paused, TimePoint now, RandomSource &random)
{
    Deadline first = Deadline::never();
    for (const Entry *entry : paused) {
        first = first.earlier(entry->pausedUntil);
    }
    const Microseconds wait = first.remaining(now);
    return { SelectionEnd::AllPaused, {}, false, Deadline::after(now, wait + scaled(wait, random.unit())) };
}

SelectedAttempt TargetSelector::begin(const Selection &selection, TimePoint now)
{
    Entry &entry = m_entries.at(selection.target);
    entry.state.noteStart();
    if (selection.isTrial) {
        if (m_ejection.isEjected(selection.target)) {
            m_ejection.beginTrial(selection.target);
        }
        if (entry.state.isReportedDown(now)) {
            entry.isDownTrialInProgress = true;
            entry.nextDownTrial = Deadline::after(now, downTrialInterval);
        }
    }
    return { selection.target, now, entry.state.inFlight(), selection.isTrial };
}

bool TargetSelector::end(const SelectedAttempt &attempt, AttemptOutcome outcome, Microseconds latency, TimePoint now,
                         RandomSource &random)
{
    const auto found = m_entries.find(attempt.target);
    if (found == m_entries.end()) {
        return false;
    }
    Entry &entry = found->second;
    entry.state.noteEnd(outcome, attempt.startedAt, attempt.inFlightAtStart, latency, now);
    if (attempt.isTrial) {
        entry.isDownTrialInProgress = false;
    }
    switch (outcome) {
    case AttemptOutcome::Failure:
        return m_ejection.noteFailure(attempt.target, now, random);
    case AttemptOutcome::Success:
        // Requests that were sent before the ejection don't end it; only the trial does.
        if ((attempt.isTrial || !m_ejection.isEjected(attempt.target)) && m_ejection.noteSuccess(attempt.target, now)) {
            entry.state.startCold(now);
        }
        return false;
    case AttemptOutcome::ServerError:
        // A trial fails on a server error, since the target may have been ejected because of its errors.
        return attempt.isTrial && m_ejection.noteFailure(attempt.target, now, random);
    case AttemptOutcome::Shed:
    case AttemptOutcome::Nothing:
        if (attempt.isTrial) {
            m_ejection.endTrial(attempt.target);
        }
        return false;
    }
    return false;
}

void TargetSelector::takeReport(const TargetReport &report)
{
    const auto found = m_entries.find(report.target);
    if (found != m_entries.end()) {
        found->second.state.takeReport(report);
    }
}

void TargetSelector::notePause(const TargetId &target, Deadline until)
{
    const auto found = m_entries.find(target);
    if (found != m_entries.end()) {
        found->second.pausedUntil = std::max(found->second.pausedUntil, until);
    }
}

void TargetSelector::noteDied(const TargetId &target, TimePoint now, RandomSource &random)
{
    if (m_entries.contains(target)) {
        m_ejection.eject(target, now, random);
    }
}

std::vector<TargetId> TargetSelector::ejectOutliers(TimePoint now, RandomSource &random)
{
    std::vector<OutlierSample> samples;
    for (const auto &[target, entry] : m_entries) {
        if (entry.state.hasSamples(now) && !entry.state.isDraining()) {
            samples.push_back({ target, entry.state.averageLatency(), entry.state.errorRate() });
        }
    }
    return m_ejection.ejectOutliers(std::move(samples), m_entries.size(), now, random);
}

RegionUsage TargetSelector::regionUsage(TimePoint now) const
{
    RegionUsage regionUsage;
    regionUsage.statedAt = now;
    for (const auto &[target, entry] : m_entries) {
        if (entry.state.isDraining() || !takesWork(entry, now)) {
            continue;
        }
        const int slots = std::max(1, static_cast<int>(entry.state.slots(now) * entry.state.slowStartFraction()));
        regionUsage.slots += slots;
        regionUsage.busy += std::min(entry.state.busySlots(now), slots);
    }
    return regionUsage;
}

Microseconds TargetSelector::baselineLatency(TimePoint now) const
{
    Microseconds highest {};
    for (const auto &[target, entry] : m_entries) {
        if (!entry.state.isDraining() && takesWork(entry, now)) {
            highest = std::max(highest, entry.state.baselineLatency());
        }
    }
    return highest;
}

const TargetState *TargetSelector::state(const TargetId &target) const
{
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? nullptr : &found->second.state;
}

} // namespace Sapphire
