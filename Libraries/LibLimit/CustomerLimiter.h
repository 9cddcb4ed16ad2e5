#pragma once

#include <LibConfiguration/ConfigurationSource.h>
#include <LibConfiguration/Roster.h>
#include <LibCore/Clock.h>
#include <LibLimit/Admission.h>
#include <LibLimit/CustomerAccount.h>
#include <LibLimit/LimitSettings.h>
#include <LibSteering/Loan.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace Sapphire {

/// The state and counters of one customer at this VM, for metrics.
struct LimitSnapshot
{
    CustomerId customer;
    Share share;
    double tokens { 0 };
    double demandPerSecond { 0 };
    std::uint64_t admitted { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t borrowed { 0 };
    std::uint64_t lent { 0 };
    std::uint64_t loanCalls { 0 };
};

/// Enforces customers' rates and bursts over all VMs together: admits requests with tokens of this VM's share and
/// borrows and lends tokens. Thread-safe.
class CustomerLimiter final : public Lender
{
public:
    CustomerLimiter(VmIncarnation self, Locality locality, const Clock &clock, const ConfigurationSource &configuration,
                    const Roster &roster, LoanClient &loanClient, LimitSettings settings);

    /// Takes a token for a request and borrows one if necessary. Blocks until the request's deadline at most.
    Admission admit(const CustomerId &customer, Deadline requestDeadline);

    /// Advances an attempt as far as possible without blocking. admit() calls this; an event loop can do so as well.
    AdmissionStep advance(AdmissionAttempt &attempt, TimePoint now);
    /// Takes the result of the call that a Borrow step asked for.
    void finishBorrow(AdmissionAttempt &attempt, const AdmissionStep &step, const Outcome<Loan> &answer, TimePoint now);

    [[nodiscard]] Result<Loan> lend(const CustomerId &customer, Tokens wanted, const VmIncarnation &borrower,
                                    TimePoint now) override;

    /// Returns the customer's home VMs, which look-ups should list first; those of the own region come first.
    std::vector<VmId> homeVms(const CustomerId &customer) const;
    std::vector<LimitSnapshot> snapshot(TimePoint now) const;
    /// Returns the processes that hold shares according to the rows that this VM has read.
    std::set<VmIncarnation> shareHolders() const;

    /// Applies changes of the roster and the configuration. To be called about once a second.
    void refresh(TimePoint now);
    VmIncarnation self() const;
    /// Starts over with empty buckets under a new incarnation, after the current one was retired.
    void changeIncarnation(Incarnation incarnation, TimePoint now);

    /// For AllotmentReconciler: sets the share. Has no effect if `holder` is no longer this VM's incarnation.
    /// Returns whether the outstanding loans fit into the share.
    bool applyShare(const CustomerId &customer, const VmIncarnation &holder, Share share, TimePoint now);
    Share share(const CustomerId &customer) const;
    /// For AllotmentReconciler: stores the allotment that was read or written, which tells which VMs hold shares.
    void noteAllotment(const CustomerId &customer, const Allotment &allotment, TimePoint now);
    /// For AllotmentReconciler: returns how many requests per second this VM's share should serve.
    double demand(const CustomerId &customer, TimePoint now) const;
    std::vector<RendezvousCandidate> homes(const CustomerId &customer, TimePoint now) const;

private:
    using Lock = std::unique_lock<std::mutex>;

    CustomerAccount &account(const CustomerRecord &record, TimePoint now) const;
    CustomerAccount *findAccount(const CustomerId &customer, TimePoint now) const;
    void loadCandidates(TimePoint now) const;
    void updateHomes(const CustomerId &customer, CustomerAccount &account, TimePoint now) const;
    void updateLenders(CustomerAccount &account) const;
    Share initialShare() const;

    AdmissionStep finished(CustomerAccount &account, Admission admission) const;
    AdmissionStep borrowOrRefuse(CustomerAccount &account, AdmissionAttempt &attempt, TimePoint now);
    bool canAsk(const CustomerAccount &account, const AdmissionAttempt &attempt,
                const CustomerAccount::LenderCandidate &lender, TimePoint now) const;
    AdmissionStep beginBorrow(CustomerAccount &account, AdmissionAttempt &attempt,
                              const CustomerAccount::LenderCandidate &lender, TimePoint now) const;
    Tokens tokensToBorrow(CustomerAccount &account, TimePoint now) const;
    Deadline nextTokenAt(CustomerAccount &account, TimePoint now) const;
    Deadline nextLoanAt(CustomerAccount &account, double keep, TimePoint now) const;
    double tokensToKeep(CustomerAccount &account, TimePoint now) const;
    AdmissionStep waitOrRefuse(CustomerAccount &account, AdmissionAttempt &attempt, TimePoint now) const;
    bool isLocal(const VmId &vm) const;

    const Locality m_locality;
    const Clock &m_clock;
    const ConfigurationSource &m_configuration;
    const Roster &m_roster;
    LoanClient &m_loanClient;
    const LimitSettings m_settings;

    mutable std::mutex m_mutex;
    std::condition_variable m_callEnded;
    std::uint64_t m_endedCalls { 0 };
    VmIncarnation m_self;
    TimePoint m_startsAt; ///< No bucket is refilled before this time.
    mutable std::map<CustomerId, CustomerAccount> m_accounts;
    mutable std::vector<RendezvousCandidate> m_candidates;
    mutable VmsByRegion m_candidatesByRegion;
    mutable std::map<VmId, RegionId> m_regions;
    mutable std::set<VmId> m_unableToLend; ///< VMs that are suspect or not fresh.
    mutable std::uint64_t m_candidateGeneration { 0 };
    mutable std::size_t m_listedVms { 0 };
};

} // namespace Sapphire
