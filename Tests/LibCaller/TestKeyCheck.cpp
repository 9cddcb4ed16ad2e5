#include <LibCaller/KeyCheck.h>

#include <LibCaller/CallerFixture.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

RefusalReason reasonOf(const std::variant<CustomerId, Refusal> &checked)
{
    REQUIRE(std::holds_alternative<Refusal>(checked));
    CHECK(std::get<Refusal>(checked).verdict == Verdict::NotRun);
    return std::get<Refusal>(checked).reason;
}

} // namespace

TEST_CASE("KeyCheck finds the customer of a key and rejects all others")
{
    CallerFixture fixture;
    const KeyCheck keys(fixture.configuration);
    const TimePoint now = fixture.clock.now();
    const auto known = keys.check("Bearer bar-1.secret", now);
    REQUIRE(std::holds_alternative<CustomerId>(known));
    CHECK(std::get<CustomerId>(known) == fixture.customer);
    for (const char *wrong : { "", "bar-1.secret", "Bearer bar-1.Secret", "Bearer bar-2.secret", "Bearer bar-1",
                               "Bearer .", "Bearer bar-1.secret " }) {
        CAPTURE(wrong);
        CHECK(reasonOf(keys.check(wrong, now)) == RefusalReason::KeyRejected);
    }
}

TEST_CASE("KeyCheck rejects a withdrawn key at the next request")
{
    // Guards against keys that are checked once per connection, or only against the durable configuration.
    CallerFixture fixture;
    const KeyCheck keys(fixture.configuration);
    fixture.configuration.withdraw(KeyId("bar-1"));
    CHECK(reasonOf(keys.check("Bearer bar-1.secret", fixture.clock.now())) == RefusalReason::KeyRejected);
}

TEST_CASE("KeyCheck refuses every key on a VM that isn't fresh")
{
    // Guards against a cut-off VM that still accepts a key that was withdrawn elsewhere.
    CallerFixture fixture;
    const KeyCheck keys(fixture.configuration);
    fixture.configuration.setFresh(false);
    CHECK(reasonOf(keys.check("Bearer bar-1.secret", fixture.clock.now())) == RefusalReason::NotFresh);
}
