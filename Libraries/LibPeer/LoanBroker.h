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
struct LoanRequest
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
/// been pending, adds none.
class LoanBroker
{
public:
    using RequestSender = std::function<void(const VmRecord &lender, const LoanRequest &request)>;

    LoanBroker(QuotaBook &quotas, const VmRoster &roster, VmId own, RegionId ownRegion, RequestSender requestSender);

    /// Asks for what is wanted. To be called often.
    void requestLoans(TimePoint now);
    /// Asks for what is wanted for one customer.
    void requestLoanFor(const CustomerId &customer, TimePoint now);
    /// Whether a question for the customer is open or can be asked now or soon.
    bool hasProspect(const CustomerId &customer, TimePoint now);
    /// Returns the reply to another VM's question.
    LoanReply answer(const LoanRequest &request, TimePoint now);
    /// Takes the reply of a VM. One to a question that it was not asked, or too late, is dropped.
    void takeReply(const VmId &lender, const LoanReply &reply, TimePoint now);

private:
    struct OpenRequest
    {
        LoanRequest request;
        VmId lender;
        TimePoint sentAt {};
    };

    void sendRequest(const CustomerId &customer, TimePoint now);
    std::optional<VmRecord> chooseLender(CustomerQuota &quota, TimePoint now);
    bool hasOpenRequest(const CustomerId &customer, TimePoint now);

    QuotaBook &m_quotas;
    const VmRoster &m_roster;
    VmId m_own;
    RegionId m_ownRegion;
    RequestSender m_requestSender;
    RandomSource m_random;
    std::uint64_t m_nextId;
    std::unordered_map<CustomerId, OpenRequest> m_open; ///< At most one question for each customer.
};

} // namespace Sapphire
