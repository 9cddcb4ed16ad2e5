#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibSteering/Loan.h>

#include <optional>
#include <set>

namespace Sapphire {

/// Whether a customer's limit admits a request.
struct Admission
{
    enum class Kind {
        Admitted,
        RateExceeded,
        NotFresh, ///< This VM is retired, or may have missed that or another change, so it admits nothing.
        UnknownCustomer,
    };

    Kind kind { Kind::RateExceeded };
    /// When a token is expected; only set with RateExceeded.
    Deadline nextTokenAt {};

    bool isAdmitted() const
    {
        return kind == Kind::Admitted;
    }
};

/// The state of a request between calls of CustomerLimiter::advance().
struct AdmissionAttempt
{
    CustomerId customer;
    Deadline deadline;
    bool isCounted { false };
    TimePoint startedAt {};
    bool isWaiting { false }; ///< For another request's call to a lender.
    bool isWaitingForToken { false };
    /// Until when a borrowed token is reserved for this request, so that no other request takes it.
    std::optional<Deadline> tokenUntil {};
    std::set<VmId> asked {}; ///< Lenders that were called for this request.
};

/// What the caller of CustomerLimiter::advance() has to do next.
struct AdmissionStep
{
    enum class Kind {
        Finished,
        Borrow, ///< Call the lender and pass its answer to finishBorrow().
        Wait, ///< Advance again when a call of another request has ended, or at `callDeadline` at the latest.
    };

    Kind kind { Kind::Finished };
    Admission admission {};
    VmId lender {};
    Tokens wanted {};
    Deadline callDeadline {};
};

} // namespace Sapphire
