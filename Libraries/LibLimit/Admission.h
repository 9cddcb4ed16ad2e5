#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibSteering/Loan.h>

#include <optional>
#include <set>

namespace Sapphire {

/// Whether a request may run as far as its customer's limit is concerned.
struct Admission
{
    enum class Kind {
        Admitted,
        RateExceeded,
        NotFresh, ///< This VM may be retired or may have missed a change, so it admits nothing.
        UnknownCustomer,
    };

    Kind kind { Kind::RateExceeded };
    /// When a token is expected; meaningful with RateExceeded.
    Deadline nextTokenAt {};

    bool isAdmitted() const
    {
        return kind == Kind::Admitted;
    }
};

/// A request on its way through CustomerLimiter::advance().
struct AdmissionAttempt
{
    CustomerId customer;
    Deadline deadline;
    bool isCounted { false };
    TimePoint startedAt {};
    bool isWaiting { false }; ///< For another request's call.
    bool isWaitingForToken { false };
    /// Set while the request holds a borrowed token, so that no other request takes what it waited for.
    std::optional<Deadline> tokenUntil {};
    std::set<VmId> asked {}; ///< Lenders that this request has called.
};

/// What an attempt has to do next.
struct AdmissionStep
{
    enum class Kind {
        Finished,
        Borrow, ///< Call the lender and pass its answer to finishBorrow().
        Wait, ///< Advance again when a call of another request has ended, or at the deadline given here.
    };

    Kind kind { Kind::Finished };
    Admission admission {};
    VmId lender {};
    Tokens wanted {};
    Deadline callDeadline {};
};

} // namespace Sapphire
