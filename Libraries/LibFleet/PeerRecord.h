#pragma once

#include <LibCore/Ids.h>
#include <LibFleet/Membership.h>

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Sapphire {

/// Tracks which items (members, summaries, reports and so on) a peer has and in which state, so that only differences
/// are sent. A sent item counts as present only once the peer has acknowledged the message, since messages can be lost.
class PeerRecord
{
public:
    using ItemKey = std::uint64_t;

    /// The state of an item that was sent to or received from the peer.
    struct ItemState
    {
        std::uint64_t content { 0 }; ///< Revision or hash of the content.
        TimePoint at {}; ///< When the content was observed or stated.
    };

    /// Returns the state in which the peer has the item, or nothing if it is not known to have it.
    std::optional<ItemState> acknowledged(ItemKey item) const;
    /// Notes that the message under construction contains the item.
    void noteSent(ItemKey item, ItemState state);
    /// Notes that the peer has the item, since it sent it.
    void noteReceived(ItemKey item, ItemState state);
    /// Notes that the peer received the items that were sent.
    void acknowledgeSent();
    /// Notes that the items that were sent may be lost.
    void discardSent();
    /// Clears the record if the peer was restarted, that is, its incarnation changed.
    void noteProcess(Incarnation incarnation);
    /// Deletes older items to bound the size of the record. They are sent again if they are still current.
    void forgetBefore(TimePoint at);

    TimePoint usedAt {};
    std::uint64_t sequence { 0 }; ///< Of the last response that was sent to or received from the peer.
    std::set<WireKey> wanted {}; ///< Summaries and directories to ask the peer for.

private:
    std::optional<Incarnation> m_incarnation;
    std::unordered_map<ItemKey, ItemState> m_acknowledged;
    std::vector<std::pair<ItemKey, ItemState>> m_sent;
};

} // namespace Sapphire
