#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <cstddef>
#include <set>

namespace Sapphire {

/// Broadcasts key withdrawals to other VMs. A VM forwards a withdrawal that is new to it.
class WithdrawalSpreader
{
public:
    virtual ~WithdrawalSpreader() = default;

    /// Sends the withdrawals and returns how many other VMs acknowledged them by the deadline.
    virtual std::size_t spread(const std::set<KeyId> &keys, Deadline deadline) = 0;
};

} // namespace Sapphire
