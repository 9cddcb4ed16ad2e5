#include <LibSteering/LoanTracker.h>

#include <algorithm>

namespace Sapphire {

namespace {

// Doubling beyond this would only overflow; the longest pause is reached long before.
constexpr int mostDoublings = 10;

} // namespace

void LoanTracker::takeAnswer(const VmId &lender, Tokens wanted, const Loan &loan, TimePoint now)
{
    if (loan.tokens.value() > 0 && !loan.deadline.hasPassed(now)) {
        m_tokens[loan.deadline] += loan.tokens.value();
    }
    if (loan.tokens.value() > 0) {
        m_pauses.erase(lender);
    }
    if (loan.tokens < wanted) {
        pause(lender, loan.nextTokenAt, now);
    }
}

void LoanTracker::takeFailure(const VmId &lender, TimePoint now)
{
    // A single lost message is more frequent than a dead lender, so the first pause is short here as well.
    pause(lender, Deadline(now), now);
}

void LoanTracker::pause(const VmId &lender, Deadline wantedUntil, TimePoint now)
{
    Pause &entry = m_pauses[lender];
    const Microseconds shortest = m_settings.shortestPause * (1 << std::min(entry.emptyAnswers, mostDoublings));
    ++entry.emptyAnswers;
    const Deadline least = Deadline::after(now, std::min<Microseconds>(shortest, m_settings.longestPause));
    const Deadline most = Deadline::after(now, m_settings.longestAnnouncedPause);
    entry.until = std::clamp(wantedUntil, least, most);
}

void LoanTracker::dropExpired(TimePoint now)
{
    while (!m_tokens.empty() && m_tokens.begin()->first.hasPassed(now)) {
        m_tokens.erase(m_tokens.begin());
    }
}

std::optional<Deadline> LoanTracker::takeWithDeadline(TimePoint now)
{
    dropExpired(now);
    if (m_tokens.empty()) {
        return std::nullopt;
    }
    const auto first = m_tokens.begin();
    const Deadline deadline = first->first;
    if (--first->second == 0) {
        m_tokens.erase(first);
    }
    return deadline;
}

Tokens LoanTracker::tokens(TimePoint now)
{
    dropExpired(now);
    std::int64_t sum = 0;
    for (const auto &[deadline, count] : m_tokens) {
        sum += count;
    }
    return Tokens(sum);
}

bool LoanTracker::mayAsk(const VmId &lender, TimePoint now) const
{
    const auto found = m_pauses.find(lender);
    return found == m_pauses.end() || found->second.until.hasPassed(now);
}

bool LoanTracker::beginCall(TimePoint now)
{
    const double perSecond = m_settings.callsPerSecond;
    if (now > m_callCreditAt) {
        const double elapsed = std::chrono::duration<double>(now - m_callCreditAt).count();
        m_callCredit = std::min(perSecond, m_callCredit + elapsed * perSecond);
        m_callCreditAt = now;
    }
    if (m_callCredit < 1) {
        return false;
    }
    m_callCredit -= 1;
    return true;
}

Deadline LoanTracker::nextTokenAt(TimePoint now) const
{
    Deadline earliest = Deadline::never();
    for (const auto &[lender, entry] : m_pauses) {
        if (!entry.until.hasPassed(now)) {
            earliest = earliest.earlier(entry.until);
        }
    }
    return earliest;
}

} // namespace Sapphire
