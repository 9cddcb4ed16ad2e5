#include <LibLimit/CustomerLimiter.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sapphire {

namespace {

double seconds(Microseconds interval)
{
    return std::chrono::duration<double>(interval).count();
}

Microseconds fromSeconds(double interval)
{
    return Microseconds(static_cast<Microseconds::rep>(interval * 1e6));
}

// A borrower that has not asked for a loan for longer is no longer counted.
constexpr Milliseconds borrowerRetention { 30'000 };

} // namespace

CustomerLimiter::CustomerLimiter(VmIncarnation self, Locality locality, const Clock &clock,
                                 const ConfigurationSource &configuration, const Roster &roster, LoanClient &loanClient,
                                 LimitSettings settings)
    : m_locality(std::move(locality))
    , m_clock(clock)
    , m_configuration(configuration)
    , m_roster(roster)
    , m_loanClient(loanClient)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_startsAt(clock.now() + settings.longestLoan())
{
}

Admission CustomerLimiter::admit(const CustomerId &customer, Deadline requestDeadline)
{
    AdmissionAttempt attempt { customer, requestDeadline };
    while (true) {
        Lock lock(m_mutex);
        const std::uint64_t endedCalls = m_endedCalls;
        lock.unlock();
        const TimePoint now = m_clock.now();
        const AdmissionStep step = advance(attempt, now);
        if (step.kind == AdmissionStep::Kind::Finished) {
            return step.admission;
        }
        if (step.kind == AdmissionStep::Kind::Borrow) {
            const Outcome<Loan> answer = capture([&] {
                return m_loanClient.borrow(step.lender, customer, step.wanted, step.callDeadline);
            });
            finishBorrow(attempt, step, answer, m_clock.now());
            continue;
        }
        lock.lock();
        m_callEnded.wait_for(lock, step.callDeadline.remaining(now), [this, endedCalls] {
            return m_endedCalls != endedCalls;
        });
    }
}

AdmissionStep CustomerLimiter::advance(AdmissionAttempt &attempt, TimePoint now)
{
    const std::shared_ptr<const Configuration> configuration = m_configuration.configuration();
    const bool isFresh = m_configuration.isFresh(now);
    const Lock lock(m_mutex);
    const auto record = configuration->customers.find(attempt.customer);
    if (record == configuration->customers.end()) {
        return { .admission = { isFresh ? Admission::Kind::UnknownCustomer : Admission::Kind::NotFresh } };
    }
    CustomerAccount &holder = account(record->second, now);
    if (attempt.isWaiting) {
        attempt.isWaiting = false;
        holder.waiting = std::max(0, holder.waiting - 1);
    }
    if (attempt.isWaitingForToken) {
        attempt.isWaitingForToken = false;
        holder.tokenWaits = std::max(0, holder.tokenWaits - 1);
    }
    if (!isFresh || configuration->isRetired(m_self)) {
        return finished(holder, { Admission::Kind::NotFresh });
    }
    if (!attempt.isCounted) {
        attempt.isCounted = true;
        attempt.startedAt = now;
        holder.ownDemand.add(1, now);
        holder.regionalDemand.add(1, now);
    }
    const std::optional<Deadline> tokenUntil = std::exchange(attempt.tokenUntil, std::nullopt);
    const bool hasToken = tokenUntil && !tokenUntil->hasPassed(now);
    if (hasToken || holder.bucket.take(now) || holder.loans.take(now)) {
        return finished(holder, { Admission::Kind::Admitted });
    }
    return borrowOrRefuse(holder, attempt, now);
}

AdmissionStep CustomerLimiter::finished(CustomerAccount &account, Admission admission) const
{
    if (admission.isAdmitted()) {
        ++account.admitted;
    } else {
        ++account.refused;
    }
    return { .admission = admission };
}

AdmissionStep CustomerLimiter::borrowOrRefuse(CustomerAccount &account, AdmissionAttempt &attempt, TimePoint now)
{
    for (const CustomerAccount::LenderCandidate &lender : account.lenders) {
        if (!canAsk(account, attempt, lender, now)) {
            continue;
        }
        if (account.callsInFlight.contains(lender.vm)) {
            attempt.isWaiting = true;
            ++account.waiting;
            return { .kind = AdmissionStep::Kind::Wait, .lender = lender.vm, .callDeadline = attempt.deadline };
        }
        if (!account.loans.beginCall(now)) {
            break;
        }
        return beginBorrow(account, attempt, lender, now);
    }
    return waitOrRefuse(account, attempt, now);
}

AdmissionStep CustomerLimiter::waitOrRefuse(CustomerAccount &account, AdmissionAttempt &attempt, TimePoint now) const
{
    const Deadline next = nextTokenAt(account, now);
    const Deadline latest = Deadline::after(attempt.startedAt, m_settings.longestTokenWait).earlier(attempt.deadline);
    const bool isPolicyShares = m_settings.policy == LimitPolicy::Shares;
    if (!isPolicyShares || next > latest || account.tokenWaits >= m_settings.mostTokenWaits) {
        return finished(account, { Admission::Kind::RateExceeded, next });
    }
    attempt.isWaitingForToken = true;
    attempt.asked.clear();
    ++account.tokenWaits;
    return { .kind = AdmissionStep::Kind::Wait, .callDeadline = next };
}

bool CustomerLimiter::canAsk(const CustomerAccount &account, const AdmissionAttempt &attempt,
                             const CustomerAccount::LenderCandidate &lender, TimePoint now) const
{
    if (attempt.asked.contains(lender.vm) || !account.loans.mayAsk(lender.vm, now)) {
        return false;
    }
    const Microseconds needed = lender.isLocal ? Microseconds(1) : Microseconds(m_settings.leastTimeForRemoteLoan);
    return attempt.deadline.remaining(now) >= needed;
}

AdmissionStep CustomerLimiter::beginBorrow(CustomerAccount &account, AdmissionAttempt &attempt,
                                           const CustomerAccount::LenderCandidate &lender, TimePoint now) const
{
    const Milliseconds timeout = lender.isLocal ? m_settings.localLoanTimeout : m_settings.remoteLoanTimeout;
    account.callsInFlight.insert(lender.vm);
    ++account.loanCalls;
    attempt.asked.insert(lender.vm);
    return { .kind = AdmissionStep::Kind::Borrow,
             .lender = lender.vm,
             .wanted = tokensToBorrow(account, now),
             .callDeadline = Deadline::after(now, timeout).earlier(attempt.deadline) };
}

Tokens CustomerLimiter::tokensToBorrow(CustomerAccount &account, TimePoint now) const
{
    const double ownRate =
        account.ratePerSecond * static_cast<double>(account.bucket.share().value()) / wholeShare.value();
    const double missing = std::max(0.0, account.ownDemand.perSecond(now) - ownRate);
    const double ahead = std::floor(missing * seconds(m_settings.loanHorizon));
    return Tokens(1 + account.waiting + static_cast<std::int64_t>(ahead));
}

void CustomerLimiter::finishBorrow(AdmissionAttempt &attempt, const AdmissionStep &step, const Outcome<Loan> &answer,
                                   TimePoint now)
{
    {
        const Lock lock(m_mutex);
        ++m_endedCalls;
        const auto found = m_accounts.find(attempt.customer);
        if (found != m_accounts.end()) {
            CustomerAccount &account = found->second;
            account.callsInFlight.erase(step.lender);
            if (answer) {
                account.borrowed += static_cast<std::uint64_t>(answer.value().tokens.value());
                account.loans.takeAnswer(step.lender, step.wanted, answer.value(), now);
                attempt.tokenUntil = account.loans.takeWithDeadline(now);
            } else {
                account.loans.takeFailure(step.lender, now);
            }
        }
    }
    m_callEnded.notify_all();
}

Deadline CustomerLimiter::nextTokenAt(CustomerAccount &account, TimePoint now) const
{
    const Deadline own = account.bucket.expectedAt(1, now);
    const Deadline borrowed = account.loans.nextTokenAt(now);
    return own.earlier(borrowed).earlier(Deadline::after(now, m_settings.longestRetry));
}

double CustomerLimiter::tokensToKeep(CustomerAccount &account, TimePoint now) const
{
    const double own = account.ownDemand.perSecond(now);
    const double others = account.lentDemand.perSecond(now);
    if (own <= 0) {
        return 0;
    }
    const double proportional = account.bucket.tokens(now) * own / (own + others);
    const double needed = own * seconds(m_settings.keepHorizon);
    // A bucket that keeps all that it can hold would never lend.
    const double most = std::max(0.0, account.bucket.capacity() - 1);
    return std::min({ proportional, needed, most });
}

Result<Loan> CustomerLimiter::lend(const CustomerId &customer, Tokens wanted, const VmIncarnation &borrower,
                                   TimePoint now)
{
    const std::shared_ptr<const Configuration> configuration = m_configuration.configuration();
    const bool isFresh = m_configuration.isFresh(now);
    const Lock lock(m_mutex);
    if (!isFresh || configuration->isRetired(m_self) || m_settings.policy != LimitPolicy::Shares) {
        return fail(ErrorCode::Unavailable, "this VM does not lend now");
    }
    const auto record = configuration->customers.find(customer);
    if (record == configuration->customers.end()) {
        return fail(ErrorCode::NotFound, "no customer " + customer.text());
    }
    CustomerAccount &holder = account(record->second, now);
    const double keep = tokensToKeep(holder, now);
    const auto asked = static_cast<double>(std::max<std::int64_t>(wanted.value(), 0));
    holder.lentDemand.add(asked, now);
    if (isLocal(borrower.vm)) {
        holder.regionalDemand.add(asked, now);
    }
    const double spare = std::max(0.0, holder.bucket.tokens(now) - keep);
    const Tokens most(std::min(wanted.value(), static_cast<std::int64_t>(std::floor(spare))));
    const Milliseconds lifetime = isLocal(borrower.vm) ? m_settings.localLoan : m_settings.remoteLoan;
    const Deadline deadline = Deadline::after(now, lifetime);
    const Tokens lent = holder.bucket.lend(most, deadline, now);
    holder.lent += static_cast<std::uint64_t>(lent.value());
    holder.borrowers[borrower.vm] = now;
    if (lent == wanted) {
        return Loan { customer, lent, deadline, Deadline(now) };
    }
    holder.emptyAnswers.add(1, now);
    return Loan { customer, lent, deadline, nextLoanAt(holder, keep, now) };
}

Deadline CustomerLimiter::nextLoanAt(CustomerAccount &account, double keep, TimePoint now) const
{
    const Deadline latest = Deadline::after(now, m_settings.loanTracker.longestPause);
    const Deadline expected = account.bucket.expectedAt(1 + keep, now).earlier(latest);
    if (account.emptyAnswers.perSecond(now) <= m_settings.emptyAnswersPerSecond) {
        return expected;
    }
    const double turnSeconds = static_cast<double>(account.borrowers.size()) / m_settings.emptyAnswersPerSecond;
    const Deadline turn = Deadline::after(now, fromSeconds(turnSeconds));
    return expected < turn ? turn : expected;
}

bool CustomerLimiter::isLocal(const VmId &vm) const
{
    const auto found = m_regions.find(vm);
    return found != m_regions.end() && found->second == m_locality.region;
}

CustomerAccount &CustomerLimiter::account(const CustomerRecord &record, TimePoint now) const
{
    auto found = m_accounts.find(record.id);
    if (found == m_accounts.end()) {
        found = m_accounts.try_emplace(record.id, m_startsAt, m_settings.loanTracker).first;
        found->second.bucket.configure(record.ratePerSecond, record.burst, initialShare(), now);
    }
    CustomerAccount &account = found->second;
    if (account.ratePerSecond != record.ratePerSecond || account.burst != record.burst) {
        account.ratePerSecond = record.ratePerSecond;
        account.burst = record.burst;
        account.bucket.configure(record.ratePerSecond, record.burst, account.bucket.share(), now);
    }
    if (m_candidateGeneration == 0) {
        loadCandidates(now);
    }
    if (account.candidateGeneration != m_candidateGeneration) {
        updateHomes(record.id, account, now);
    }
    return account;
}

CustomerAccount *CustomerLimiter::findAccount(const CustomerId &customer, TimePoint now) const
{
    const std::shared_ptr<const Configuration> configuration = m_configuration.configuration();
    const auto record = configuration->customers.find(customer);
    return record == configuration->customers.end() ? nullptr : &account(record->second, now);
}

Share CustomerLimiter::initialShare() const
{
    if (m_settings.policy == LimitPolicy::Shares || m_listedVms == 0) {
        return Share(0);
    }
    return Share(wholeShare.value() / static_cast<std::int64_t>(m_listedVms));
}

void CustomerLimiter::loadCandidates(TimePoint now) const
{
    std::vector<RendezvousCandidate> candidates;
    std::map<VmId, RegionId> regions;
    std::set<VmId> unableToLend;
    for (const RosterVm &vm : m_roster.vms(now)) {
        regions[vm.process.vm] = vm.locality.region;
        if (vm.isSuspect || !vm.isFresh) {
            unableToLend.insert(vm.process.vm);
        }
        if (!vm.isSuspect && !vm.isLeaving) {
            candidates.push_back({ vm.process.vm, vm.locality.region });
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const RendezvousCandidate &left, const RendezvousCandidate &right) {
                  return left.vm < right.vm;
              });
    m_regions = std::move(regions);
    m_unableToLend = std::move(unableToLend);
    m_listedVms = m_roster.listedVms().size();
    if (candidates != m_candidates || m_candidateGeneration == 0) {
        m_candidates = std::move(candidates);
        m_candidatesByRegion = VmsByRegion(m_candidates);
        ++m_candidateGeneration;
    }
}

void CustomerLimiter::updateHomes(const CustomerId &customer, CustomerAccount &account, TimePoint now) const
{
    double load = account.ownDemand.perSecond(now);
    double knownLoad = 0;
    for (const AllotmentEntry &entry : account.knownAllotment.entries) {
        knownLoad += entry.demand;
    }
    load = std::max(load, knownLoad);
    const int size = HomeSet::nextSize(account.homeSize, load, account.burst,
                                       static_cast<int>(m_candidatesByRegion.regionCount()), m_settings.homeSet);
    if (size != account.homeSize || account.candidateGeneration != m_candidateGeneration) {
        account.homeSize = size;
        account.homes = HomeSet::choose(customer, m_candidatesByRegion, size);
        account.candidateGeneration = m_candidateGeneration;
    }
    updateLenders(account);
}

void CustomerLimiter::updateLenders(CustomerAccount &account) const
{
    struct Ranked
    {
        CustomerAccount::LenderCandidate lender;
        std::int64_t share;
    };
    account.lenders.clear();
    if (m_settings.policy != LimitPolicy::Shares) {
        return;
    }
    std::vector<Ranked> ranked;
    std::set<VmId> known { m_self.vm };
    for (const AllotmentEntry &entry : account.knownAllotment.entries) {
        const bool isReachable = m_regions.contains(entry.process.vm) && !m_unableToLend.contains(entry.process.vm);
        if (entry.share.value() > 0 && isReachable && known.insert(entry.process.vm).second) {
            ranked.push_back({ { entry.process.vm, isLocal(entry.process.vm) }, entry.share.value() });
        }
    }
    for (const RendezvousCandidate &home : account.homes) {
        // The known allotment may be out of date, so home VMs are called even if it lists no share for them.
        if (known.insert(home.vm).second) {
            ranked.push_back({ { home.vm, home.region == m_locality.region }, 0 });
        }
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.lender.isLocal != right.lender.isLocal ? left.lender.isLocal : left.share > right.share;
    });
    for (const Ranked &entry : ranked) {
        account.lenders.push_back(entry.lender);
    }
}

void CustomerLimiter::refresh(TimePoint now)
{
    const std::shared_ptr<const Configuration> configuration = m_configuration.configuration();
    const Lock lock(m_mutex);
    loadCandidates(now);
    std::erase_if(m_accounts, [&configuration](const auto &entry) {
        return !configuration->customers.contains(entry.first);
    });
    for (const auto &[customer, record] : configuration->customers) {
        account(record, now);
    }
    for (auto &[customer, account] : m_accounts) {
        updateHomes(customer, account, now);
        std::erase_if(account.borrowers, [now](const auto &entry) {
            return now - entry.second > borrowerRetention;
        });
        if (m_settings.policy == LimitPolicy::EqualSplit) {
            account.bucket.configure(account.ratePerSecond, account.burst, initialShare(), now);
        }
    }
}

VmIncarnation CustomerLimiter::self() const
{
    const Lock lock(m_mutex);
    return m_self;
}

void CustomerLimiter::changeIncarnation(Incarnation incarnation, TimePoint now)
{
    const Lock lock(m_mutex);
    m_self.incarnation = incarnation;
    m_startsAt = now + m_settings.longestLoan();
    for (auto &[customer, account] : m_accounts) {
        account.bucket = TokenBucket(m_startsAt);
        account.bucket.configure(account.ratePerSecond, account.burst, initialShare(), now);
    }
}

bool CustomerLimiter::applyShare(const CustomerId &customer, const VmIncarnation &holder, Share share, TimePoint now)
{
    const Lock lock(m_mutex);
    if (holder != m_self) {
        // The share belongs to a previous incarnation.
        return false;
    }
    CustomerAccount *account = findAccount(customer, now);
    if (account == nullptr) {
        return true;
    }
    if (account->bucket.share() != share) {
        account->bucket.configure(account->ratePerSecond, account->burst, share, now);
    }
    // Loans of an earlier process of this VM may be outstanding until then.
    return now >= m_startsAt && account->bucket.isSettled(now);
}

Share CustomerLimiter::share(const CustomerId &customer) const
{
    const Lock lock(m_mutex);
    const auto found = m_accounts.find(customer);
    return found == m_accounts.end() ? Share(0) : found->second.bucket.share();
}

std::set<VmIncarnation> CustomerLimiter::shareHolders() const
{
    const Lock lock(m_mutex);
    std::set<VmIncarnation> holders;
    for (const auto &[customer, account] : m_accounts) {
        for (const AllotmentEntry &entry : account.knownAllotment.entries) {
            holders.insert(entry.process);
        }
    }
    return holders;
}

void CustomerLimiter::noteAllotment(const CustomerId &customer, const Allotment &allotment, TimePoint now)
{
    const Lock lock(m_mutex);
    CustomerAccount *account = findAccount(customer, now);
    if (account != nullptr) {
        account->knownAllotment = allotment;
        updateHomes(customer, *account, now);
    }
}

double CustomerLimiter::demand(const CustomerId &customer, TimePoint now) const
{
    const Lock lock(m_mutex);
    CustomerAccount *account = findAccount(customer, now);
    return account == nullptr ? 0 : account->regionalDemand.perSecond(now);
}

std::vector<RendezvousCandidate> CustomerLimiter::homes(const CustomerId &customer, TimePoint now) const
{
    const Lock lock(m_mutex);
    CustomerAccount *account = findAccount(customer, now);
    return account == nullptr ? std::vector<RendezvousCandidate> {} : account->homes;
}

std::vector<VmId> CustomerLimiter::homeVms(const CustomerId &customer) const
{
    std::vector<RendezvousCandidate> chosen = homes(customer, m_clock.now());
    std::stable_partition(chosen.begin(), chosen.end(), [this](const RendezvousCandidate &home) {
        return home.region == m_locality.region;
    });
    std::vector<VmId> vms;
    vms.reserve(chosen.size());
    for (const RendezvousCandidate &home : chosen) {
        vms.push_back(home.vm);
    }
    return vms;
}

std::vector<LimitSnapshot> CustomerLimiter::snapshot(TimePoint now) const
{
    const Lock lock(m_mutex);
    std::vector<LimitSnapshot> snapshots;
    for (auto &[customer, account] : m_accounts) {
        const double tokens = account.bucket.tokens(now) + static_cast<double>(account.loans.tokens(now).value());
        snapshots.push_back({ customer, account.bucket.share(), tokens, account.ownDemand.perSecond(now),
                              account.admitted, account.refused, account.borrowed, account.lent, account.loanCalls });
    }
    return snapshots;
}

} // namespace Sapphire
