#include <LibPeer/DocumentParts.h>

#include <LibCore/RandomSource.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

/// Returns a text that hardly compresses.
std::string randomText(std::size_t bytes)
{
    RandomSource random(7);
    std::string text;
    for (std::size_t i = 0; i < bytes; ++i) {
        text += static_cast<char>(random.below(256));
    }
    return text;
}

} // namespace

TEST_CASE("DocumentParts reassembles a document whatever the order of its parts")
{
    // Guards against rules that are altered on their way to another VM.
    for (const std::size_t bytes : { std::size_t { 1 }, std::size_t { 6'000 }, std::size_t { 20'000 } }) {
        const std::string document = randomText(bytes);
        const std::vector<std::string> parts = divideDocument(document);
        REQUIRE(!parts.empty());
        DocumentParts receiver;
        std::optional<std::string> whole;
        for (std::size_t i = parts.size(); i > 0; --i) {
            CHECK(!whole);
            whole = receiver.add(1, i - 1, parts.size(), parts[i - 1]);
        }
        CHECK(whole == document);
    }
}

TEST_CASE("DocumentParts never mixes parts of two documents")
{
    // Guards against rules assembled from two versions after a lost datagram.
    const std::vector<std::string> first = divideDocument(randomText(10'000));
    const std::vector<std::string> second = divideDocument(randomText(11'000));
    REQUIRE(first.size() == 2);
    REQUIRE(second.size() == 2);
    DocumentParts receiver;
    CHECK(!receiver.add(1, 0, 2, first[0]));
    CHECK(!receiver.add(2, 1, 2, second[1]));
    CHECK(!receiver.add(1, 1, 2, first[1]));
    CHECK(receiver.add(1, 0, 2, first[0]) == randomText(10'000));
}

TEST_CASE("DocumentParts joins two documents whose parts arrive by turns")
{
    // Guards against rules that are lost because several VMs broadcast at the same time.
    const std::string firstText = randomText(10'000);
    const std::string secondText = randomText(11'000);
    const std::vector<std::string> first = divideDocument(firstText);
    const std::vector<std::string> second = divideDocument(secondText);
    DocumentParts receiver;
    CHECK(!receiver.add(1, 0, 2, first[0]));
    CHECK(!receiver.add(2, 0, 2, second[0]));
    CHECK(receiver.add(1, 1, 2, first[1]) == firstText);
    CHECK(receiver.add(2, 1, 2, second[1]) == secondText);
}

TEST_CASE("A document as large as the platform's store takes it can be sent")
{
    // Guards against a large configuration that no VM gets from another one.
    constexpr std::size_t mostRowBytes = 65'536;
    CHECK(!divideDocument(randomText(mostRowBytes)).empty());
}

TEST_CASE("DocumentParts rejects invalid parts")
{
    // Guards against datagrams of another release or another program that crash this process.
    DocumentParts receiver;
    CHECK(!receiver.add(1, 0, 0, "x"));
    CHECK(!receiver.add(1, 3, 2, "x"));
    CHECK(!receiver.add(1, 0, 1'000'000, "x"));
    CHECK(!receiver.add(1, 0, 1, "no compressed document"));
    CHECK(divideDocument(randomText(100'000)).empty());
}
