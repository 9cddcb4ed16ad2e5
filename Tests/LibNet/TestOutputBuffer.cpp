#include <LibNet/OutputBuffer.h>

#include <doctest/doctest.h>

#include <random>

using namespace Sapphire;

TEST_CASE("A buffer that is never empty takes up memory for what waits only, not for what has passed")
{
    // Guards against a machine that runs out of memory over an answer without end whose caller reads as fast as it
    // arrives.
    constexpr std::size_t piece = 10'000;
    constexpr std::size_t mostCapacity = 64 * piece;
    OutputBuffer buffer;
    buffer.append(std::string(piece, 'x'));
    for (int i = 0; i < 10'000; ++i) {
        buffer.append(std::string(piece, 'x'));
        buffer.consume(piece);
        REQUIRE(buffer.size() == piece);
    }
    CHECK(buffer.capacity() <= mostCapacity);
}

TEST_CASE("A buffer gives back its memory once all that waited is consumed")
{
    // Guards against thousands of idle connections that each keep the memory of their largest answer.
    OutputBuffer buffer;
    buffer.append(std::string(1'000'000, 'x'));
    buffer.consume(999'999);
    buffer.consume(1);
    CHECK(buffer.capacity() <= 100'000);
}

TEST_CASE("A buffer returns the bytes in their order, however they are added and consumed")
{
    // Guards against bytes that are lost, repeated or exchanged when consumed ones are dropped.
    for (unsigned seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        OutputBuffer buffer;
        std::string added;
        std::string consumed;
        for (int step = 0; step < 200; ++step) {
            const std::size_t length = random() % 5'000;
            std::string piece;
            for (std::size_t i = 0; i < length; ++i) {
                piece += static_cast<char>('a' + random() % 26);
            }
            added += piece;
            buffer.append(piece);
            const std::size_t count = random() % (buffer.size() + 1);
            consumed += buffer.waiting().substr(0, count);
            buffer.consume(count);
            REQUIRE(buffer.size() == added.size() - consumed.size());
        }
        consumed += buffer.waiting();
        CHECK((consumed == added));
        buffer.clear();
        CHECK(buffer.isEmpty());
    }
}
