#pragma once

#include <LibSteering/Loan.h>

namespace Sapphire {

/// A loan client for a fleet in which no VM lends tokens.
class NoLoans final : public LoanClient
{
public:
    Result<Loan> borrow(const VmId &, const CustomerId &, Tokens, Deadline) override
    {
        return fail(ErrorCode::Unavailable, "no VM lends tokens");
    }
};

} // namespace Sapphire
