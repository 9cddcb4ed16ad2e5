#pragma once

#include <LibLimit/CustomerLimiter.h>
#include <LibPlatform/TableService.h>

#include <map>
#include <optional>
#include <set>

namespace Sapphire {

/// The allotment duty: keeps this VM's shares in the table and in its CustomerLimiter in step.
///
/// The share in the limiter is at no time above what the row grants. To lower a share, the keeper lowers it in the
/// limiter, waits until loans out fit into it, and then writes the row; a raise counts once its row was seen. A write
/// whose answer was lost may still take effect as long as the row has the tag that the write was based on, so until
/// then the share stays at the lower of the two values.
/// One thread calls tick(); the other functions are for the same thread.
class AllotmentReconciler
{
public:
    AllotmentReconciler(CustomerLimiter &limiter, TableService &tables, const Clock &clock,
                        const ConfigurationSource &configuration, LimitSettings settings);

    /// Reads and writes the rows that are due. Called about once a second; may block for the table's timeouts.
    void tick(TimePoint now);
    /// Gives all shares back, for a planned stop. Called instead of tick() until it returns true.
    bool release(TimePoint now);

private:
    struct CustomerState
    {
        Allotment row;
        RowTag tag; ///< Empty if there is no row.
        TimePoint nextReadAt {};
        TimePoint lastDemandWriteAt { TimePoint::min() };
        /// A lower own share that may have been written on top of the tag below.
        std::optional<Share> ceiling;
        RowTag ceilingTag;
        std::uint64_t reads { 0 };
    };

    struct Retirement
    {
        ConfigurationVersion version; ///< The first one that this VM saw it in.
        std::optional<TimePoint> inForceSince;
    };

    enum class Progress {
        Done,
        Again, ///< The row was changed by another VM; read it again.
        Later, ///< Loans out must end first.
        Unreadable, ///< Nothing is done until the row is repaired.
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
