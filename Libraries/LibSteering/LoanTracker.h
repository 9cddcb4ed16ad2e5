#pragma once

#include <LibSteering/Loan.h>

#include <map>
#include <optional>

namespace Sapphire {

struct LoanTrackerSettings
{
    /// A lender that had no tokens is not asked for at least this long, which doubles with each empty answer in a row.
    Milliseconds shortestPause { 50 };
    /// Limits the doubled pause.
    Milliseconds longestPause { 1'000 };
    /// Limits the pause until the time at which a lender expects its next token.
    Milliseconds longestAnnouncedPause { 10'000 };
    /// For all calls for one customer, so that a customer far above its rate can't use up the processor time of a VM.
    int callsPerSecond { 40 };
};

/// Tracks the tokens that this VM has borrowed for one customer, and which lenders can be asked.
class LoanTracker
{
public:
    explicit LoanTracker(LoanTrackerSettings settings = {}) : m_settings(settings)
    {
    }

    /// Records a lender's answer to a request for `wanted` tokens.
    void takeAnswer(const VmId &lender, Tokens wanted, const Loan &loan, TimePoint now);
    /// Records that a lender could not be asked.
    void takeFailure(const VmId &lender, TimePoint now);

    /// Uses one borrowed token, the one that expires first.
    bool take(TimePoint now)
    {
        return takeWithDeadline(now).has_value();
    }
    /// Removes the borrowed token that expires first and returns its deadline.
    std::optional<Deadline> takeWithDeadline(TimePoint now);
    Tokens tokens(TimePoint now);

    bool mayAsk(const VmId &lender, TimePoint now) const;
    /// Counts a call. Returns false if there are too many in a second.
    bool beginCall(TimePoint now);
    /// Returns when the first of the lenders that had too little can be asked again, or never if there is none.
    Deadline nextTokenAt(TimePoint now) const;

private:
    struct Pause
    {
        Deadline until;
        int emptyAnswers { 0 };
    };

    void pause(const VmId &lender, Deadline wantedUntil, TimePoint now);
    void dropExpired(TimePoint now);

    LoanTrackerSettings m_settings;
    std::map<Deadline, std::int64_t> m_tokens;
    std::map<VmId, Pause> m_pauses;
    double m_callCredit { 1 };
    TimePoint m_callCreditAt {};
};

} // namespace Sapphire
