#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <cstddef>
#include <set>

namespace Sapphire {

/// Pushes key withdrawals to other VMs, which push them on at first receipt.
class WithdrawalSpreader
{
public:
    virtual ~WithdrawalSpreader() = default;

    /// Returns how many other VMs have acknowledged the withdrawals by the deadline.
    virtual std::size_t spread(const std::set<KeyId> &keys, Deadline deadline) = 0;
};

} // namespace Sapphire
