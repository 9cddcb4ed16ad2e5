#pragma once

#include <LibSteering/Loan.h>

namespace Sapphire {

/// A fleet in which nobody lends.
class NoLoans final : public LoanClient
{
public:
    Result<Loan> borrow(const VmId &, const CustomerId &, Tokens, Deadline) override
    {
        return fail(ErrorCode::Unavailable, "nobody lends");
    }
};

} // namespace Sapphire
