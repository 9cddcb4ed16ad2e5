#pragma once

#include <LibLimit/CustomerLimiter.h>
#include <LibPlatform/TableService.h>

#include <map>
#include <optional>
#include <set>

namespace Sapphire {

/// Reconciles this VM's shares in the table `allotments` with those in its CustomerLimiter.
///
/// The share in the limiter never exceeds what the row grants. To lower a share, the reconciler lowers it in the
/// limiter, waits until the outstanding loans fit into it, and then writes the row. A raise takes effect only after the
/// row that contains it was written or read. A write whose answer was lost may still take effect while the row has the
/// tag that the write was based on; until the tag changes, the share stays at the lower of the two values. All
/// functions must be called on the same thread.
class AllotmentReconciler
{
public:
    AllotmentReconciler(CustomerLimiter &limiter, TableService &tables, const Clock &clock,
                        const ConfigurationSource &configuration, LimitSettings settings);

    /// Reads and writes the rows that are due. To be called about once a second. May block until the table's timeouts.
    void tick(TimePoint now);
    /// Gives all shares back before a planned stop. To be called instead of tick() until it returns true.
    bool release(TimePoint now);

private:
    struct CustomerState
    {
        Allotment row;
        RowTag tag; ///< Empty if there is no row.
        TimePoint nextReadAt {};
        TimePoint lastDemandWriteAt { TimePoint::min() };
        /// An upper limit of the own share: a lower share that may have been written over the row with `ceilingTag`.
        std::optional<Share> ceiling;
        RowTag ceilingTag;
        std::uint64_t reads { 0 };
    };

    struct Retirement
    {
        ConfigurationVersion version; ///< The first version in which this VM saw the retirement.
        std::optional<TimePoint> inForceSince;
    };

    enum class Progress {
        Done,
        Again, ///< The row has changed or the answer to a write was lost; read it again.
        Later, ///< Outstanding loans must end first.
        Unreadable, ///< The row is damaged and left alone until it is repaired.
        StoreLost,
    };

    void noteRetirements(const Configuration &configuration, TimePoint now);
    std::set<VmIncarnation> returnable(const Allotment &allotment, TimePoint now) const;
    bool isDue(const CustomerId &customer, const CustomerState &state, bool isHome, TimePoint now);
    bool mayHold(const CustomerState &state, bool isHome) const;
    Progress update(const CustomerRecord &customer, CustomerState &state, TimePoint now);
    Progress readRow(const CustomerId &customer, CustomerState &state);
    Progress writeRow(const CustomerRecord &customer, CustomerState &state, const Allotment &next, TimePoint now);
    void applyRow(const CustomerId &customer, CustomerState &state, TimePoint now);
    void limitBelow(CustomerState &state, Share share) const;
    Share ownShare(const Allotment &allotment) const;
    AllotmentView view(const CustomerRecord &customer, const CustomerState &state, TimePoint now) const;
    void schedule(const CustomerId &customer, CustomerState &state, Milliseconds interval, TimePoint now) const;
    void noteStore(bool isLost, const std::string &reason);
    Deadline callDeadline() const;

    CustomerLimiter &m_limiter;
    TableService &m_tables;
    const Clock &m_clock;
    const ConfigurationSource &m_configuration;
    const LimitSettings m_settings;
    VmIncarnation m_self;
    std::map<CustomerId, CustomerState> m_states;
    std::map<VmIncarnation, Retirement> m_retirements;
    bool m_isStoreLost { false };
    bool m_isReleasing { false };
};

} // namespace Sapphire
