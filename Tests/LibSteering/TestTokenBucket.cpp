#include <LibSteering/TokenBucket.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

TimePoint at(double seconds)
{
    return TimePoint(Microseconds(static_cast<Microseconds::rep>(seconds * 1e6)));
}

int takeAll(TokenBucket &bucket, TimePoint now)
{
    int count = 0;
    while (bucket.take(now)) {
        ++count;
    }
    return count;
}

TokenBucket emptyBucket(double rate, double burst, Share share)
{
    TokenBucket bucket;
    bucket.configure(rate, burst, share, at(0));
    return bucket;
}

} // namespace

TEST_CASE("a bucket starts empty and fills to its share of the burst")
{
    // Guards against a bucket that is full at the start: a VM in a restart loop would create a burst each time.
    TokenBucket bucket = emptyBucket(10, 20, Share(500'000));
    CHECK(takeAll(bucket, at(0)) == 0);
    CHECK(takeAll(bucket, at(1)) == 5);
    CHECK(takeAll(bucket, at(100)) == 10);
}

TEST_CASE("a bucket adds no tokens before its start")
{
    // Guards against a new process that adds tokens while loans of the previous process are outstanding.
    TokenBucket bucket(at(3));
    bucket.configure(10, 20, wholeShare, at(0));
    CHECK(takeAll(bucket, at(3)) == 0);
    CHECK(bucket.expectedAt(1, at(0)).at() == at(3.1));
    CHECK(takeAll(bucket, at(4)) == 10);
}

TEST_CASE("a smaller share drops tokens and a larger one adds none")
{
    // Guards against tokens that exist twice after a share has moved to another VM.
    TokenBucket bucket = emptyBucket(10, 20, wholeShare);
    CHECK(bucket.tokens(at(10)) == doctest::Approx(20));
    bucket.configure(10, 20, Share(250'000), at(10));
    CHECK(bucket.tokens(at(10)) == doctest::Approx(5));
    bucket.configure(10, 20, wholeShare, at(10));
    CHECK(takeAll(bucket, at(10)) == 5);
}

TEST_CASE("lent tokens count against the capacity until the loan ends")
{
    // Guards against a lender that refills while its loans are unused: together they would exceed the burst.
    TokenBucket bucket = emptyBucket(10, 20, wholeShare);
    CHECK(bucket.lend(Tokens(50), Deadline(at(12)), at(10)) == Tokens(20));
    CHECK(bucket.tokens(at(11.9)) == doctest::Approx(0));
    CHECK(bucket.expectedAt(1, at(11)).at() == at(12.1));
    CHECK(takeAll(bucket, at(13)) == 10);
}

TEST_CASE("a bucket with a reduced share is settled only when its loans fit")
{
    // Guards against a share that is given away while tokens lent from it can still be used.
    TokenBucket bucket = emptyBucket(10, 20, wholeShare);
    CHECK(bucket.lend(Tokens(15), Deadline(at(11)), at(10)) == Tokens(15));
    bucket.configure(10, 20, Share(100'000), at(10));
    CHECK_FALSE(bucket.isSettled(at(10.5)));
    CHECK(bucket.isSettled(at(11)));
}

TEST_CASE("a capacity below one token never gives a token")
{
    // Guards against rounding up: 100 VMs with a hundredth of a burst of 20 each would admit 100 at once.
    TokenBucket bucket = emptyBucket(100, 20, Share(10'000));
    CHECK(takeAll(bucket, at(1000)) == 0);
    CHECK(bucket.expectedAt(1, at(1000)) == Deadline::never());
}

TEST_CASE("an earlier time than the last one adds no tokens")
{
    // Guards against counting time twice when a thread reads the clock before another one but takes the lock later.
    TokenBucket bucket = emptyBucket(10, 20, wholeShare);
    CHECK(takeAll(bucket, at(1)) == 10);
    CHECK(takeAll(bucket, at(0.5)) == 0);
    CHECK(takeAll(bucket, at(1)) == 0);
}
