#pragma once

#include <LibCore/RandomSource.h>
#include <LibSteering/QuotaBook.h>
#include <LibSteering/VmRoster.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace Sapphire {

/// One VM's question for tokens, and the answer to it.
struct LoanQuestion
{
    std::uint64_t id { 0 };
    CustomerId customer;
    Tokens tokens;
};

struct LoanReply
{
    std::uint64_t id { 0 };
    Tokens tokens; ///< Possibly none.
};

/// Borrows tokens from other VMs for customers that are short of them here, and lends them. A token is deducted at the
/// lender before the reply is sent, so a lost reply loses tokens and a repeated one, whose question is known to have
/// been answered, adds none.
class LoanDesk
{
public:
    using Asker = std::function<void(const VmRecord &lender, const LoanQuestion &question)>;

    LoanDesk(QuotaBook &quotas, const VmRoster &roster, VmId own, RegionId ownRegion, Asker asker);

    /// Asks for what is wanted. To be called often.
    void seek(TimePoint now);
    /// Asks for what is wanted for one customer.
    void requestLoanFor(const CustomerId &customer, TimePoint now);
    /// Whether a question for the customer is open or can be asked now or soon.
    bool hasProspect(const CustomerId &customer, TimePoint now);
    /// Returns the reply to another VM's question.
    LoanReply answer(const LoanQuestion &question, TimePoint now);
    /// Takes the reply of a VM. One to a question that it was not asked, or too late, is dropped.
    void takeReply(const VmId &lender, const LoanReply &reply, TimePoint now);

private:
    struct Open
    {
        LoanQuestion question;
        VmId lender;
        TimePoint askedAt {};
    };

    void ask(const CustomerId &customer, TimePoint now);
    std::optional<VmRecord> chooseLender(CustomerQuota &quota, TimePoint now);
    bool isOpen(const CustomerId &customer, TimePoint now);

    QuotaBook &m_quotas;
    const VmRoster &m_roster;
    VmId m_own;
    RegionId m_ownRegion;
    Asker m_asker;
    RandomSource m_random;
    std::uint64_t m_nextId;
    std::unordered_map<CustomerId, Open> m_open; ///< At most one question for each customer.
};

} // namespace Sapphire
