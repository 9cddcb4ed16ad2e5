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
        const std::vector<std::string> parts = divideDocument(document).parts;
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

TEST_CASE("DocumentParts joins documents whose parts arrive by turns, and never mixes them")
{
    // Guards against rules that are mixed from two versions, or lost because several VMs broadcast at the same time.
    const std::string firstText = randomText(10'000);
    const std::string secondText = randomText(11'000);
    const std::vector<std::string> first = divideDocument(firstText).parts;
    const std::vector<std::string> second = divideDocument(secondText).parts;
    REQUIRE(first.size() == 2);
    REQUIRE(second.size() == 2);
    DocumentParts receiver;
    CHECK(!receiver.add(1, 0, 2, first[0]));
    CHECK(!receiver.add(2, 1, 2, second[1]));
    CHECK(receiver.add(1, 1, 2, first[1]) == firstText);
    CHECK(receiver.add(2, 0, 2, second[0]) == secondText);
    CHECK(receiver.lostDocuments() == 0);
}

TEST_CASE("DocumentParts keeps a bounded number of incomplete documents")
{
    // Guards against a VM that runs out of memory because of documents of which parts are lost.
    const std::vector<std::string> parts = divideDocument(randomText(10'000)).parts;
    DocumentParts receiver;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        CHECK(!receiver.add(id, 0, 2, parts[0]));
    }
    CHECK(receiver.lostDocuments() >= 90);
    CHECK(receiver.add(100, 1, 2, parts[1]) == randomText(10'000));
}

TEST_CASE("A document as large as the platform's store takes it can be sent")
{
    // Guards against a large configuration that no VM gets from another one.
    constexpr std::size_t mostRowBytes = 65'536;
    CHECK(!divideDocument(randomText(mostRowBytes)).parts.empty());
}

TEST_CASE("DocumentParts rejects invalid parts")
{
    // Guards against datagrams of another release or another program that crash this process.
    DocumentParts receiver;
    CHECK(!receiver.add(1, 0, 0, "x"));
    CHECK(!receiver.add(1, 3, 2, "x"));
    CHECK(!receiver.add(1, 0, 1'000'000, "x"));
    CHECK(!receiver.add(1, 0, 1, "no compressed document"));
    CHECK(divideDocument(randomText(100'000)).parts.empty());
}
