#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

namespace Sapphire {

/// Permissions to run one request each.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;

/// Tokens that a VM took from its own bucket for another VM. Unused tokens expire at the deadline.
struct Loan
{
    CustomerId customer;
    Tokens tokens;
    Deadline deadline;
    /// When the lender expects to have a token again; meaningful if it lent none.
    Deadline nextTokenAt;
};

/// Lends tokens of this VM to other VMs.
class Lender
{
public:
    virtual ~Lender() = default;

    /// Deducts up to the wanted tokens from the own bucket. Lending none is no error.
    /// Fails with Unavailable if this VM may not admit requests now.
    [[nodiscard]] virtual Result<Loan> lend(const CustomerId &customer, Tokens wanted, const VmIncarnation &borrower,
                                            TimePoint now) = 0;
};

/// Borrows tokens from other VMs.
class LoanClient
{
public:
    virtual ~LoanClient() = default;

    /// Blocks until the deadline at most. The loan's deadline on this VM's clock counts from the moment at which the
    /// call was sent, so that it is never later than the lender's. Fails with Unavailable or Timeout; if the answer is
    /// lost, its tokens are lost.
    [[nodiscard]] virtual Result<Loan> borrow(const VmId &lender, const CustomerId &customer, Tokens wanted,
                                              Deadline deadline) = 0;
};

} // namespace Sapphire
