#include <LibPeer/SuspectNews.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

CrashSuspect suspect(int number, int crashes = 1)
{
    return { Fingerprint("f" + std::to_string(number)), start, crashes };
}

} // namespace

TEST_CASE("SuspectNews tells a suspect at once and repeats it")
{
    // Guards against a request that crashes targets at all VMs before they hear of it.
    SuspectNews news;
    CHECK(news.nextAt() == Deadline::never());
    news.add(suspect(1));
    CHECK(news.nextAt().hasPassed(start));
    CHECK(news.takeNew(start).size() == 1);
    CHECK(news.nextAt() == Deadline::never());
    CHECK(news.takeRepeats().size() == 1);
    CHECK(news.takeRepeats().size() == 1);
    CHECK(news.takeRepeats().empty());
}

TEST_CASE("SuspectNews sends few messages when many targets die at once")
{
    // Guards against a zone's restart after which each VM sends thousands of datagrams to all others.
    SuspectNews news;
    int messages = 0;
    for (int number = 0; number < 1'000; ++number) {
        const TimePoint now = start + Milliseconds(number);
        news.add(suspect(number));
        if (news.nextAt().hasPassed(now)) {
            CHECK(news.takeNew(now).size() <= 8);
            ++messages;
        }
    }
    CHECK(messages == 10);
}

TEST_CASE("SuspectNews keeps the worst suspects when there are too many")
{
    // Guards against a crashing request that is lost among its bystanders.
    SuspectNews news;
    news.add(suspect(0, 4));
    for (int number = 1; number < 50; ++number) {
        news.add(suspect(number));
    }
    news.add(suspect(0, 5));
    const std::vector<CrashSuspect> told = news.takeNew(start);
    CHECK(told.size() == 8);
    CHECK(told.back().crashes == 5);
}
