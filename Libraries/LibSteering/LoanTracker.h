#pragma once

#include <LibSteering/Loan.h>

#include <map>
#include <optional>

namespace Sapphire {

struct LoanTrackerSettings
{
    /// A lender that had nothing is left alone at least this long; doubled with each empty answer in a row.
    Milliseconds shortestPause { 50 };
    /// Limits the doubling.
    Milliseconds longestPause { 1'000 };
    /// Limits what a lender says of its next token.
    Milliseconds longestStatedPause { 10'000 };
    /// All calls for one customer, so that a customer far above its rate can't use up the time of a VM.
    int callsPerSecond { 40 };
};

/// The tokens that this VM has borrowed for one customer, and which lenders can be asked.
class LoanTracker
{
public:
    explicit LoanTracker(LoanTrackerSettings settings = {}) : m_settings(settings)
    {
    }

    /// Records what a lender answered to a call for a number of tokens.
    void takeAnswer(const VmId &lender, Tokens wanted, const Loan &loan, TimePoint now);
    /// Records that a lender could not be asked.
    void takeFailure(const VmId &lender, TimePoint now);

    /// Uses one borrowed token, the one that ends first.
    bool take(TimePoint now)
    {
        return takeWithDeadline(now).has_value();
    }
    /// Sets one borrowed token aside and returns until when it can be used.
    std::optional<Deadline> takeWithDeadline(TimePoint now);
    Tokens tokens(TimePoint now);

    bool mayAsk(const VmId &lender, TimePoint now) const;
    /// Counts a call; returns false if there were too many in the last second.
    bool beginCall(TimePoint now);
    /// Returns when some lender that had nothing expects a token, never if there is none.
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
    double m_callTokens { 1 };
    TimePoint m_callsAt {};
};

} // namespace Sapphire
