#include <LibRequest/IssuedRequestId.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("IssuedRequestId names the process that issued it")
{
    const Microseconds now = std::chrono::minutes(90);
    const std::string prefix = IssuedRequestId::prefix({ VmId("cuyo-a-1"), Incarnation(77) }, now);
    const std::optional<IssuedRequestId> id = IssuedRequestId::parse(RequestId(prefix + "order-5~1"));
    REQUIRE(id);
    CHECK(id->issuer() == VmIncarnation { VmId("cuyo-a-1"), Incarnation(77) });
    CHECK(id->isCurrent(now + std::chrono::minutes(59)));
    CHECK(id->isCurrent(now - std::chrono::minutes(9)));
    CHECK_FALSE(id->isCurrent(now + std::chrono::minutes(61)));
    // Guards against an id dated in the future, which would be valid for longer than its issuer remembers it.
    CHECK_FALSE(id->isCurrent(now - std::chrono::minutes(11)));
}

TEST_CASE("IssuedRequestId does not parse ids that callers chose")
{
    // Guards against mistaking an id that a caller chose for one that only its issuer may run.
    for (const char *text :
         { "order-5", "sd1~vm", "sd1~vm~1~2", "sd1~vm~1~2~", "sd1~vm~x~2~a", "sd1~~1~2~a", "sd2~vm~1~2~a" }) {
        CAPTURE(text);
        CHECK_FALSE(IssuedRequestId::parse(RequestId(text)));
    }
    CHECK_FALSE(isValidRequestId("a b"));
    CHECK_FALSE(isValidRequestId(std::string(201, 'a')));
}
