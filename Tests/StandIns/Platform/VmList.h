#pragma once

#include <LibCore/Deadline.h>
#include <LibPlatform/VmDirectory.h>

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

/// The platform's VM list, in which a change becomes visible only after a lag. Safe to share between threads.
class VmList
{
public:
    /// Sets the lag of the changes that follow.
    void setLag(Microseconds lag);
    void put(const ListedVm &vm, TimePoint now);
    void remove(const VmId &vm, TimePoint now);
    /// Returns false if there is no such VM.
    bool markLeaving(const VmId &vm, TimePoint now);
    /// Returns the VMs that are visible at that time, in the order of their ids.
    std::vector<ListedVm> visible(TimePoint now);

private:
    struct Change
    {
        Deadline visibleAt;
        VmId vm;
        std::optional<ListedVm> entry; ///< Nothing for a removed VM.
    };

    void change(const VmId &vm, std::optional<ListedVm> entry, TimePoint now);
    void applyDue(TimePoint now);

    std::mutex m_mutex;
    Microseconds m_lag { 0 };
    std::map<std::string, ListedVm> m_actual; ///< By id.
    std::map<std::string, ListedVm> m_visible;
    std::deque<Change> m_pending;
};

} // namespace Sapphire
