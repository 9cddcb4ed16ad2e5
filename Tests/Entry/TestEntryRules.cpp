#include <Entry/EntryCallers.h>

#include <LibCore/RandomSource.h>

using namespace Sapphire;

namespace {

// The platform's bound on the time from a change's acknowledgement until each VM follows it.
constexpr Milliseconds configurationDeadline { 2'500 };

/// Returns keys that make a configuration almost as large as the platform's store takes it, and that hardly compress.
std::vector<std::string> manyKeys()
{
    constexpr int count = 1'010;
    constexpr int length = 60;
    constexpr std::string_view symbols =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789!#$%&()*+,-./:;<=>?@[]^_`{|}~";
    RandomSource random(7);
    std::vector<std::string> keys(count);
    for (std::string &key : keys) {
        for (int i = 0; i < length; ++i) {
            key += symbols[random.below(symbols.size())];
        }
    }
    return keys;
}

} // namespace

TEST_CASE("A VM that can't reach the store follows changes of large rules in time")
{
    // Guards against rules that no VM gets from another one because they are too large to be sent.
    EntryDeployment deployment(2, 2, EntryDeployment::Links::Proxied);
    const EntryVm &cutOff = deployment.vms().front();
    REQUIRE(capture([&] {
        return deployment.proxy()->cut("store:" + cutOff.name);
    }));
    EntryRules rules;
    rules.keys = manyKeys();
    rules.keys.emplace_back();
    for (rules.version = 2; rules.version <= 4; ++rules.version) {
        const std::string key = "key-of-version-" + std::to_string(rules.version);
        rules.keys.back() = key;
        deployment.applyRules(rules);
        CAPTURE(rules.version);
        CHECK(waitFor(
            [&] {
                return EntryCallers::send(deployment.callerAddress(cutOff), "GET", "/read/1", "r", key,
                                          Milliseconds(1'000))
                           .status
                    == 200;
            },
            after(configurationDeadline)));
    }
}
