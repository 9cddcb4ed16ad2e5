#include <LibNet/TcpProgress.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("A peer without room counts as silent only if it answers no probes for longer than the limit")
{
    // Guards against a live peer that reads late and is given up, and against a dead one that is waited for.
    constexpr Milliseconds limit { 1'000 };
    const TcpProgress busy { false, true, 0, Milliseconds(800) };
    const TcpProgress busyForLong { false, true, 1, Milliseconds(3'000) };
    const TcpProgress justSilent { false, true, 2, Milliseconds(900) };
    const TcpProgress silent { false, true, 2, Milliseconds(1'400) };
    CHECK(!busy.isPeerSilent(limit));
    CHECK(!busyForLong.isPeerSilent(limit));
    CHECK(!justSilent.isPeerSilent(limit));
    CHECK(silent.isPeerSilent(limit));
    // Bytes on their way are the kernel's to time.
    const TcpProgress onTheWay { true, true, 2, Milliseconds(1'400) };
    CHECK(!onTheWay.isBlockedByPeer());
    CHECK(!onTheWay.isPeerSilent(limit));
    CHECK(TcpProgress {}.isAllAcknowledged());
    CHECK(!busy.isAllAcknowledged());
}
