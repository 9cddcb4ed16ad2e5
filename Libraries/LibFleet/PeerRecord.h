#pragma once

#include <LibCore/Ids.h>
#include <LibFleet/Membership.h>

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Sapphire {

/// What a peer is known to have, item by item, so that only differences are sent. An item that was sent counts
/// only after the peer has acknowledged the message, since messages are lost.
class PeerRecord
{
public:
    using ItemKey = std::uint64_t;

    /// The state of an item in which the peer has it.
    struct Token
    {
        std::uint64_t content { 0 }; ///< Number or hash of the content.
        TimePoint at {}; ///< The moment that the item speaks of.
    };

    std::optional<Token> acknowledged(ItemKey item) const;
    /// Notes that the message being built contains the item.
    void noteSent(ItemKey item, Token token);
    /// Notes an item that the peer itself sent.
    void noteHeard(ItemKey item, Token token);
    void acknowledgeSent();
    void discardSent();
    /// Forgets everything if another process runs under the peer's id than before.
    void noteProcess(Incarnation incarnation);
    /// Forgets items that are older, so that the record stays bounded; they are sent again if they still matter.
    void forgetBefore(TimePoint at);

    TimePoint usedAt {};
    std::uint64_t sequence { 0 }; ///< Of the last response, sent or received.
    std::set<WireKey> wanted {}; ///< Summaries and directories to ask the peer for.

private:
    std::optional<Incarnation> m_incarnation;
    std::unordered_map<ItemKey, Token> m_acknowledged;
    std::vector<std::pair<ItemKey, Token>> m_sent;
};

} // namespace Sapphire
