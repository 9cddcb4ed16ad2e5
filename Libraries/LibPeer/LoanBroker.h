#pragma once

#include <LibCore/RandomSource.h>
#include <LibSteering/CustomerQuotas.h>
#include <LibSteering/VmRoster.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace Sapphire {

/// A VM's request to borrow tokens.
struct LoanRequest
{
    std::uint64_t id { 0 };
    CustomerId customer;
    Tokens tokens;
};

/// The lender's reply to a request.
struct LoanReply
{
    std::uint64_t id { 0 };
    Tokens tokens; ///< May be zero.
};

/// Borrows tokens from other VMs for customers that are short of them here, and lends tokens to other VMs. The lender
/// deducts tokens before it sends the reply, so a lost reply loses tokens. A duplicate reply adds none, since its
/// request is no longer open.
class LoanBroker
{
public:
    using RequestSender = std::function<void(const VmRecord &lender, const LoanRequest &request)>;

    LoanBroker(CustomerQuotas &quotas, const VmRoster &roster, VmId own, RegionId ownRegion,
               RequestSender requestSender);

    /// Requests loans for all customers that are short of tokens. To be called often.
    void requestLoans(TimePoint now);
    /// Requests a loan for one customer, unless a request for it is open.
    void requestLoanFor(const CustomerId &customer, TimePoint now);
    /// Whether a request for the customer is open or can be sent now or within a short wait (100 ms).
    bool mayReceiveTokens(const CustomerId &customer, TimePoint now);
    /// Lends tokens if there are any to spare, and returns the reply to another VM's request.
    LoanReply answer(const LoanRequest &request, TimePoint now);
    /// Credits the tokens of a reply. Ignored if no request with its id is open at that VM.
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

    CustomerQuotas &m_quotas;
    const VmRoster &m_roster;
    VmId m_own;
    RegionId m_ownRegion;
    RequestSender m_requestSender;
    RandomSource m_random;
    std::uint64_t m_nextId;
    std::unordered_map<CustomerId, OpenRequest> m_open; ///< At most one request per customer.
};

} // namespace Sapphire
