#include <LibLimit/AllotmentReconciler.h>

#include <LibCore/Hash.h>
#include <LibLimit/AllotmentRow.h>
#include <LibLimit/LimitEvents.h>

#include <algorithm>

namespace Sapphire {

namespace {

// Several home VMs may write a new row at the same time; in each round of tries at least one of them succeeds.
constexpr int mostTries = 4;
// Requests per second below which a VM that is not a home VM does not read a customer's row.
constexpr double leastDemandToRead = 0.01;

} // namespace

AllotmentReconciler::AllotmentReconciler(CustomerLimiter &limiter, TableService &tables, const Clock &clock,
                                         const ConfigurationSource &configuration, LimitSettings settings)
    : m_limiter(limiter)
    , m_tables(tables)
    , m_clock(clock)
    , m_configuration(configuration)
    , m_settings(settings)
    , m_self(limiter.self())
{
}

void AllotmentReconciler::tick(TimePoint now)
{
    m_limiter.refresh(now);
    if (m_settings.policy != LimitPolicy::Shares) {
        return;
    }
    const VmIncarnation self = m_limiter.self();
    if (self != m_self) {
        m_self = self;
        m_states.clear();
    }
    const std::shared_ptr<const Configuration> configuration = m_configuration.configuration();
    noteRetirements(*configuration, now);
    if (configuration->isRetired(m_self)) {
        return;
    }
    std::erase_if(m_states, [&configuration](const auto &entry) {
        return !configuration->customers.contains(entry.first);
    });
    for (const auto &[id, customer] : configuration->customers) {
        CustomerState &state = m_states[id];
        const std::vector<RendezvousCandidate> homes = m_limiter.homes(id, now);
        const bool isHome = std::any_of(homes.begin(), homes.end(), [this](const RendezvousCandidate &home) {
            return home.vm == m_self.vm;
        });
        if (!isDue(id, state, isHome, now)) {
            continue;
        }
        Progress progress = Progress::Again;
        for (int i = 0; i < mostTries && progress == Progress::Again; ++i) {
            progress = update(customer, state, now);
        }
        const bool isHolder = mayHold(state, isHome) || m_isReleasing;
        schedule(id, state, isHolder ? m_settings.holderReadInterval : m_settings.otherReadInterval, now);
        if (progress == Progress::Later || progress == Progress::Again) {
            state.nextReadAt = now;
        }
        if (progress == Progress::StoreLost) {
            // Calls for the rows of other customers would fail or time out as well.
            return;
        }
    }
}

bool AllotmentReconciler::release(TimePoint now)
{
    m_isReleasing = true;
    for (auto &[id, state] : m_states) {
        state.nextReadAt = now;
    }
    tick(now);
    return std::none_of(m_states.begin(), m_states.end(), [this](const auto &entry) {
        return entry.second.row.find(m_self.vm) != nullptr;
    });
}

bool AllotmentReconciler::mayHold(const CustomerState &state, bool isHome) const
{
    return isHome || state.row.find(m_self.vm) != nullptr || state.ceiling.has_value();
}

bool AllotmentReconciler::isDue(const CustomerId &customer, const CustomerState &state, bool isHome, TimePoint now)
{
    if (now < state.nextReadAt) {
        // A VM that has just become a home VM does not wait for the long interval to end.
        return isHome && state.nextReadAt - now > 2 * m_settings.holderReadInterval;
    }
    // The first read finds the share that an earlier process of this VM may hold.
    const bool isFirst = state.reads == 0;
    return isFirst || mayHold(state, isHome) || m_limiter.demand(customer, now) > leastDemandToRead;
}

void AllotmentReconciler::schedule(const CustomerId &customer, CustomerState &state, Milliseconds interval,
                                   TimePoint now) const
{
    // Spread reads over a quarter of the interval, so that VMs that started together don't keep reading together.
    const std::string key = m_self.vm.text() + customer.text() + std::to_string(state.reads);
    const auto part = static_cast<Microseconds::rep>(stableHash(key) % 1000);
    state.nextReadAt = now + interval - Microseconds(interval) / 4 * part / 1000;
}

void AllotmentReconciler::noteRetirements(const Configuration &configuration, TimePoint now)
{
    for (const auto &[vm, incarnation] : configuration.retired) {
        const VmIncarnation process { vm, incarnation };
        Retirement &retirement =
            m_retirements.try_emplace(process, Retirement { configuration.version, {} }).first->second;
        if (!m_configuration.inForceStatus(retirement.version, now).isInForce) {
            retirement.inForceSince.reset();
        } else if (!retirement.inForceSince) {
            retirement.inForceSince = now;
        }
    }
}

std::set<VmIncarnation> AllotmentReconciler::returnable(const Allotment &allotment, TimePoint now) const
{
    std::set<VmIncarnation> processes;
    for (const AllotmentEntry &entry : allotment.entries) {
        const auto found = m_retirements.lower_bound(entry.process);
        if (found == m_retirements.end() || found->first.vm != entry.process.vm || !found->second.inForceSince) {
            continue;
        }
        // The process may have made its last loans just before.
        if (now - *found->second.inForceSince > m_settings.longestLoan()) {
            processes.insert(entry.process);
        }
    }
    return processes;
}

AllotmentView AllotmentReconciler::view(const CustomerRecord &customer, const CustomerState &state, TimePoint now) const
{
    AllotmentView view;
    view.self = m_self;
    view.homes = m_limiter.homes(customer.id, now);
    if (m_isReleasing) {
        std::erase_if(view.homes, [this](const RendezvousCandidate &home) {
            return home.vm == m_self.vm;
        });
    }
    view.ownDemand = m_limiter.demand(customer.id, now);
    view.ratePerSecond = customer.ratePerSecond;
    view.burst = customer.burst;
    view.returnable = returnable(state.row, now);
    view.isIntervalOver = state.lastDemandWriteAt == TimePoint::min()
        || now - state.lastDemandWriteAt >= m_settings.allotment.leastInterval;
    return view;
}

AllotmentReconciler::Progress AllotmentReconciler::update(const CustomerRecord &customer, CustomerState &state,
                                                          TimePoint now)
{
    const Progress read = readRow(customer.id, state);
    if (read != Progress::Done) {
        return read;
    }
    applyRow(customer.id, state, now);
    m_limiter.noteAllotment(customer.id, state.row, now);
    if (customer.burst < 1 && state.reads == 1) {
        logEvent(burstTooSmall, { { "customer", customer.id }, { "burst", customer.burst } });
    }
    const AllotmentView known = view(customer, state, now);
    const bool isHome = std::any_of(known.homes.begin(), known.homes.end(), [this](const RendezvousCandidate &home) {
        return home.vm == m_self.vm;
    });
    if (!isHome && state.row.find(m_self.vm) == nullptr) {
        return Progress::Done;
    }
    Allotment current = state.row;
    AllotmentEntry *own = current.find(m_self.vm);
    if (own != nullptr && state.ceiling) {
        own->share = std::min(own->share, *state.ceiling);
    }
    const AllotmentDecision decision = AllotmentPolicy::decide(current, known, m_settings.allotment);
    if (decision.next == state.row) {
        return Progress::Done;
    }
    const Share next = ownShare(decision.next);
    if (next < ownShare(state.row)) {
        limitBelow(state, next);
        if (!m_limiter.applyShare(customer.id, m_self, std::min(next, *state.ceiling), now)) {
            return Progress::Later;
        }
    }
    if (!decision.isUrgent) {
        state.lastDemandWriteAt = now;
    }
    if (decision.isTakeover) {
        logEvent(allotmentTakenOver, { { "customer", customer.id }, { "share", next } });
    }
    if (decision.isReturn) {
        logEvent(allotmentReturned, { { "customer", customer.id }, { "rest", decision.next.rest() } });
    }
    return writeRow(customer, state, decision.next, now);
}

AllotmentReconciler::Progress AllotmentReconciler::readRow(const CustomerId &customer, CustomerState &state)
{
    ++state.reads;
    const Outcome<Row> row = capture([&] {
        return m_tables.read(AllotmentRow::table(), customer.text(), callDeadline());
    });
    if (!row && row.error().code != ErrorCode::NotFound) {
        noteStore(true, row.error().message);
        return Progress::StoreLost;
    }
    noteStore(false, "");
    Allotment allotment;
    if (row) {
        const Outcome<Allotment> decoded = capture([&] {
            return AllotmentRow::decode(row.value().value);
        });
        if (!decoded) {
            logEvent(allotmentUnreadable, { { "customer", customer }, { "fault", decoded.error().message } });
            return Progress::Unreadable;
        }
        allotment = decoded.value();
    }
    state.row = allotment;
    state.tag = row ? row.value().tag : RowTag();
    if (state.ceiling && state.tag != state.ceilingTag) {
        state.ceiling.reset();
    }
    return Progress::Done;
}

AllotmentReconciler::Progress AllotmentReconciler::writeRow(const CustomerRecord &customer, CustomerState &state,
                                                            const Allotment &next, TimePoint now)
{
    const std::string text = AllotmentRow::encode(next);
    const Outcome<RowTag> written = capture([&] {
        return state.tag.isEmpty()
            ? m_tables.insert(AllotmentRow::table(), customer.id.text(), text, callDeadline())
            : m_tables.replace(AllotmentRow::table(), customer.id.text(), text, state.tag, callDeadline());
    });
    if (written) {
        state.row = next;
        state.tag = written.value();
        state.ceiling.reset();
        applyRow(customer.id, state, now);
        m_limiter.noteAllotment(customer.id, state.row, now);
        return Progress::Done;
    }
    if (written.error().code == ErrorCode::Conflict) {
        return Progress::Again;
    }
    if (written.error().verdict == Verdict::NotRun) {
        noteStore(true, written.error().message);
        return Progress::StoreLost;
    }
    logEvent(allotmentAnswerLost, { { "customer", customer.id }, { "fault", written.error().message } });
    return Progress::Again;
}

void AllotmentReconciler::applyRow(const CustomerId &customer, CustomerState &state, TimePoint now)
{
    Share granted = ownShare(state.row);
    if (state.ceiling) {
        granted = std::min(granted, *state.ceiling);
    }
    const Share before = m_limiter.share(customer);
    if (granted != before) {
        m_limiter.applyShare(customer, m_self, granted, now);
        logEvent(allotmentChanged, { { "customer", customer }, { "before", before }, { "share", granted } });
    }
}

void AllotmentReconciler::limitBelow(CustomerState &state, Share share) const
{
    state.ceiling = state.ceiling ? std::min(*state.ceiling, share) : share;
    state.ceilingTag = state.tag;
}

Share AllotmentReconciler::ownShare(const Allotment &allotment) const
{
    const AllotmentEntry *entry = allotment.find(m_self.vm);
    return entry != nullptr && entry->process == m_self ? entry->share : Share(0);
}

void AllotmentReconciler::noteStore(bool isLost, const std::string &reason)
{
    if (isLost && !m_isStoreLost) {
        logEvent(allotmentStoreLost, { { "fault", reason } });
    }
    if (!isLost && m_isStoreLost) {
        logEvent(allotmentStoreBack, {});
    }
    m_isStoreLost = isLost;
}

Deadline AllotmentReconciler::callDeadline() const
{
    return Deadline::after(m_clock.now(), m_settings.tableTimeout);
}

} // namespace Sapphire
