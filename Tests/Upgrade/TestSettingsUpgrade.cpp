#include <Entry/EntryDeployment.h>
#include <Integration/IntegrationFixture.h>
#include <Upgrade/ReleasePrograms.h>

#include <iostream>
#include <sstream>

using namespace Sapphire;

namespace {

constexpr Milliseconds checkLimit { 5'000 };

/// Returns the exit code of a program that checks settings.
int checkSettings(const ScratchFolder &folder, const std::string &program, const std::string &settings)
{
    const std::filesystem::path file = expect([&] {
        return folder.write("settings.json", settings);
    });
    const auto process = expect([&] {
        return ChildProcess::create(program, { "--settings=" + file.string(), "--check" }, folder, "check");
    });
    const auto status = process->wait(after(checkLimit));
    REQUIRE(status);
    CHECK(status->signal == 0);
    return status->code;
}

std::string textOf(const Poco::JSON::Object::Ptr &object)
{
    std::ostringstream text;
    object->stringify(text);
    return text.str();
}

/// Returns the settings with each member removed, of another type, or out of range, and with an unknown member; also
/// within objects.
std::vector<std::string> variants(const std::string &settings)
{
    const std::vector<Poco::Dynamic::Var> wrongValues { Poco::Dynamic::Var("wrong"), Poco::Dynamic::Var(-1),
                                                        Poco::Dynamic::Var(1e18), Poco::Dynamic::Var(true),
                                                        Poco::Dynamic::Var() };
    std::vector<std::string> result { settings, "", "{", "[]", "{}" };
    const auto whole = parseObject(settings);
    std::vector<std::string> outer;
    whole->getNames(outer);
    const auto addVariants = [&](const std::string &member) {
        const auto names = [&](const Poco::JSON::Object::Ptr &copy) {
            return member.empty() ? copy : copy->getObject(member);
        };
        std::vector<std::string> inner;
        names(whole)->getNames(inner);
        for (const std::string &name : inner) {
            const auto removed = parseObject(settings);
            names(removed)->remove(name);
            result.push_back(textOf(removed));
            for (const Poco::Dynamic::Var &value : wrongValues) {
                const auto changed = parseObject(settings);
                names(changed)->set(name, value);
                result.push_back(textOf(changed));
            }
        }
        const auto extended = parseObject(settings);
        names(extended)->set("unknownMember", 1);
        result.push_back(textOf(extended));
    };
    addVariants("");
    for (const std::string &name : outer) {
        if (whole->isObject(name)) {
            addVariants(name);
        }
    }
    return result;
}

void checkSameVerdicts(const std::string &program, const std::string &settings)
{
    const auto folder = scratchFolder();
    std::map<int, int> codes;
    for (const std::string &variant : variants(settings)) {
        CAPTURE(variant);
        const int oldCode = checkSettings(*folder, oldProgram(program), variant);
        CHECK(checkSettings(*folder, newProgram(program), variant) == oldCode);
        ++codes[oldCode];
    }
    std::cout << program << " --check:";
    for (const auto &[code, count] : codes) {
        std::cout << " " << count << " with code " << code;
    }
    std::cout << std::endl;
    CHECK(codes[0] > 0);
    CHECK(codes[2] > 20);
}

} // namespace

TEST_CASE("Both releases of sapphired judge settings files alike")
{
    // Guards against a member whose name, type or range changed unnoticed.
    const auto deployment = startDeployment();
    const std::string name = deployment->vms().front().vm.text();
    std::string settings = readFile(deployment->folder().path() / (name + ".json"));
    settings.pop_back();
    settings += ",\"logSeverity\":\"info\",\"lookUpTimeToLiveMilliseconds\":5000,\"mostConnections\":900,"
                "\"headTimeoutMilliseconds\":3000,\"mostBodyBytes\":1000000,\"lingerMilliseconds\":6000,"
                "\"stopTimeoutMilliseconds\":20000,\"slotPolicy\":\"divided\",\"limits\":{\"policy\":\"shares\","
                "\"localLoanMs\":200,\"remoteLoanMs\":500,\"longestTokenWaitMs\":50,\"localLoanTimeoutMs\":50,"
                "\"remoteLoanTimeoutMs\":150,\"leastTimeForRemoteLoanMs\":200,\"holderReadIntervalMs\":1000,"
                "\"otherReadIntervalMs\":5000,\"leastWriteIntervalMs\":1000,\"requestsPerSecondPerHome\":50}}";
    checkSameVerdicts("sapphired", settings);
}

TEST_CASE("Both releases of sapphire-entry judge settings files alike")
{
    // Guards against a field of the platform's settings file that is read under another name.
    EntryDeployment deployment(1, 1);
    checkSameVerdicts("sapphire-entry", deployment.settingsText(deployment.vms().front(), Milliseconds(3'000)));
}
