#include <LibSteering/SyncRequestPolicy.h>

namespace Sapphire {

namespace {

// An answer of many datagrams takes some time on the link of a small VM.
constexpr Milliseconds answerTimeout { 200 };
constexpr Milliseconds retryInterval { 100 };
constexpr int mostUnanswered = 2;

} // namespace

SyncRequestPolicy::Choice SyncRequestPolicy::next(TimePoint now)
{
    if (!m_nextAt.hasPassed(now)) {
        return Choice::Nobody;
    }
    m_nextAt = Deadline::after(now, answerTimeout);
    ++m_unanswered;
    return m_unanswered <= mostUnanswered ? Choice::Preferred : Choice::Other;
}

void SyncRequestPolicy::noteEmptyAnswer(TimePoint now)
{
    m_nextAt = Deadline::after(now, retryInterval);
    m_unanswered = 0;
}

void SyncRequestPolicy::noteProgress(TimePoint now)
{
    m_nextAt = Deadline::after(now, answerTimeout);
    m_unanswered = 0;
}

void SyncRequestPolicy::reset()
{
    m_nextAt = {};
    m_unanswered = 0;
}

} // namespace Sapphire
