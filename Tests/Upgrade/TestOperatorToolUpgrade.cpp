#include <Integration/IntegrationFixture.h>
#include <Upgrade/ReleasePrograms.h>

using namespace Sapphire;

namespace {

constexpr Milliseconds toolLimit { 20'000 };

struct ToolResult
{
    int code { 0 };
    std::string output;
};

ToolResult runTool(Deployment &deployment, const std::string &program, const DeployedVm &vm,
                   const std::string &statement, const std::string &format)
{
    static int number = 0;
    const std::string name = "tool-" + std::to_string(++number);
    const std::filesystem::path token = expect([&] {
        return deployment.folder().write("token", deployment.operatorToken() + "\n");
    });
    std::vector<std::string> arguments { "--vms=" + vm.operatorAddress, "--token_file=" + token.string(),
                                         "--operator_name=ana", "--output=" + format, "--" };
    arguments.push_back(statement);
    const auto process = expect([&] {
        return ChildProcess::create(program, arguments, deployment.folder(), name);
    });
    const auto status = process->wait(after(toolLimit));
    REQUIRE(status);
    CHECK(status->signal == 0);
    return { status->code, process->output() };
}

/// Checks that both releases of sapphirectl get the same from a VM.
void checkSameResults(Deployment &deployment, const DeployedVm &vm)
{
    CAPTURE(vm.program);
    const std::vector<std::string> queries { "help",
                                             "help set",
                                             "show regions",
                                             "show customers",
                                             "show keys",
                                             "show services",
                                             "show targets",
                                             "show blocks",
                                             "show vms",
                                             "show version",
                                             "explain change 2",
                                             "show nonsense",
                                             "drain target unknown" };
    for (const char *const format : { "text", "json" }) {
        for (const std::string &query : queries) {
            CAPTURE(query);
            const ToolResult old = runTool(deployment, oldProgram("sapphirectl"), vm, query, format);
            const ToolResult now = runTool(deployment, newProgram("sapphirectl"), vm, query, format);
            CHECK(now.code == old.code);
            // Help and errors are texts for people, which a release may reword.
            if (query.starts_with("show") && old.code == 0) {
                CHECK(now.output == old.output);
            }
        }
    }
    for (const std::string &tool : { oldProgram("sapphirectl"), newProgram("sapphirectl") }) {
        CAPTURE(tool);
        CHECK(runTool(deployment, tool, vm, "set customer bar-el-grifo rate 30 burst 10", "text").code == 0);
        CHECK(runTool(deployment, tool, vm, "drain target status-cuyo-a-1", "text").code == 0);
        CHECK(runTool(deployment, tool, vm, "undrain target status-cuyo-a-1", "text").code == 0);
        CHECK(runTool(deployment, tool, vm, "set customer bar-el-grifo rate -1 burst 10", "text").code == 3);
    }
}

} // namespace

TEST_CASE("sapphirectl of each release works with sapphired of the other")
{
    // Guards against a statement, table or outcome that only the tool of one release understands.
    for (const std::string &program : { oldProgram("sapphired"), newProgram("sapphired") }) {
        DeploymentOptions options;
        options.program = program;
        const auto deployment = startDeployment(options);
        checkSameResults(*deployment, deployment->vms().front());
    }
}
