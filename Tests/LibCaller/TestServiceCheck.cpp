#include <LibCaller/ServiceCheck.h>

#include <LibCaller/CallerFixture.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

RefusalReason reasonFor(const CallerFixture &fixture, const char *service)
{
    const auto checked = checkService(fixture.configuration, ServiceId(service), fixture.clock.now());
    REQUIRE(std::holds_alternative<Refusal>(checked));
    CHECK(std::get<Refusal>(checked).verdict == Verdict::NotRun);
    return std::get<Refusal>(checked).reason;
}

} // namespace

TEST_CASE("A service that a VM's old configuration lacks is not refused as unknown")
{
    // Guards against callers of a new service who are told not to come back by a VM that can't know it.
    CallerFixture fixture;
    ServiceRecord known;
    known.id = ServiceId("known");
    Configuration configuration = *fixture.configuration.configuration();
    configuration.services[known.id] = known;
    fixture.configuration.set(configuration);
    CHECK(reasonFor(fixture, "new") == RefusalReason::NoSuchService);
    fixture.configuration.setFresh(false);
    CHECK(reasonFor(fixture, "new") == RefusalReason::NotFresh);
    CHECK(std::holds_alternative<ServiceRecord>(
        checkService(fixture.configuration, ServiceId("known"), fixture.clock.now())));
}
