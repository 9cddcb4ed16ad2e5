#include <LibSteering/HelpSeeking.h>

namespace Sapphire {

namespace {

// An answer of many datagrams takes some time on the link of a small VM.
constexpr Milliseconds answerTime { 200 };
constexpr Milliseconds retryTime { 100 };
constexpr int mostUnanswered = 2;

} // namespace

HelpSeeking::Choice HelpSeeking::next(TimePoint now)
{
    if (!m_nextAt.hasPassed(now)) {
        return Choice::Nobody;
    }
    m_nextAt = Deadline::after(now, answerTime);
    ++m_unanswered;
    return m_unanswered <= mostUnanswered ? Choice::Usual : Choice::Other;
}

void HelpSeeking::noteUnhelpful(TimePoint now)
{
    m_nextAt = Deadline::after(now, retryTime);
    m_unanswered = 0;
}

void HelpSeeking::noteProgress(TimePoint now)
{
    m_nextAt = Deadline::after(now, answerTime);
    m_unanswered = 0;
}

void HelpSeeking::reset()
{
    m_nextAt = {};
    m_unanswered = 0;
}

} // namespace Sapphire
