#include <LibConfiguration/Freshness.h>

#include <algorithm>

namespace Sapphire {

namespace {

/// Returns whether the statement shows that its VM knew of no change or withdrawal that this VM lacks.
bool isEvidence(const Statement &statement, const FreshnessView &view)
{
    if (statement.version > view.configuration.version || !view.configuration.regions.contains(statement.region)) {
        return false;
    }
    if (!view.members.contains(statement.process.vm) || view.configuration.isRetired(statement.process)) {
        return false;
    }
    return std::all_of(statement.pendingWithdrawals.begin(), statement.pendingWithdrawals.end(),
                       [&view](const KeyId &key) {
                           const auto found = view.configuration.keys.find(key);
                           const bool isDurable = found != view.configuration.keys.end() && found->second.isWithdrawn;
                           return isDurable || view.pendingWithdrawals.contains(key);
                       });
}

} // namespace

std::size_t majorityOf(std::size_t regionCount)
{
    return regionCount / 2 + 1;
}

void Freshness::noteTick(TimePoint now)
{
    if (m_lastTick && now - *m_lastTick > longestTickGap) {
        discardBefore(now);
    }
    m_lastTick = now;
}

void Freshness::noteStoreContact(TimePoint sentAt)
{
    if (sentAt < m_discardedBefore || (m_lastStoreContact && sentAt <= *m_lastStoreContact)) {
        return;
    }
    m_lastStoreContact = sentAt;
    m_isStarted = true;
}

void Freshness::takeStatement(const Statement &statement, TimePoint now)
{
    std::erase_if(m_statements, [this, now](const auto &held) {
        return !isRecent(held.second.statedAt, now);
    });
    if (!isRecent(statement.statedAt, now)) {
        return;
    }
    const auto [held, isNew] = m_statements.try_emplace(statement.process, statement);
    if (!isNew && held->second.statedAt < statement.statedAt) {
        held->second = statement;
    }
}

bool Freshness::isFresh(const FreshnessView &view, TimePoint now)
{
    if (!m_lastTick) {
        return false;
    }
    if (now - *m_lastTick > longestTickGap) {
        discardBefore(now);
        return false;
    }
    if (view.configuration.isRetired(view.self)) {
        return false;
    }
    if (m_lastStoreContact && isRecent(*m_lastStoreContact, now)) {
        return true;
    }
    const bool hasEvidence = hasMajority(view, m_isStarted, now);
    m_isStarted = m_isStarted || hasEvidence;
    return hasEvidence;
}

std::vector<Statement> Freshness::newestPerRegion(TimePoint now) const
{
    std::map<RegionId, const Statement *> newest;
    for (const auto &[process, statement] : m_statements) {
        if (!isRecent(statement.statedAt, now)) {
            continue;
        }
        const Statement *&held = newest[statement.region];
        if (held == nullptr || held->statedAt < statement.statedAt) {
            held = &statement;
        }
    }
    std::vector<Statement> result;
    result.reserve(newest.size());
    for (const auto &[region, statement] : newest) {
        result.push_back(*statement);
    }
    return result;
}

void Freshness::discardBefore(TimePoint now)
{
    m_discardedBefore = now;
    m_lastStoreContact.reset();
    m_statements.clear();
}

bool Freshness::isRecent(TimePoint evidence, TimePoint now) const
{
    return evidence >= m_discardedBefore && evidence <= now && now - evidence <= freshnessLimit;
}

bool Freshness::hasMajority(const FreshnessView &view, bool countsSelf, TimePoint now) const
{
    // Without a configuration the regions are unknown; then only a read of the store makes the VM fresh.
    const std::size_t total = view.configuration.regions.size();
    if (total == 0) {
        return false;
    }
    std::set<RegionId> covered;
    if (countsSelf && view.configuration.regions.contains(view.region)) {
        covered.insert(view.region);
    }
    for (const auto &[process, statement] : m_statements) {
        if (process != view.self && isRecent(statement.statedAt, now) && isEvidence(statement, view)) {
            covered.insert(statement.region);
        }
    }
    return covered.size() >= majorityOf(total);
}

} // namespace Sapphire
