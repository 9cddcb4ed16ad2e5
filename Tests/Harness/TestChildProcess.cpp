#include <Harness/ChildProcess.h>

#include "Expect.h"

#include <csignal>
#include <thread>

using namespace Sapphire;

namespace {

std::unique_ptr<ChildProcess> shell(const ScratchFolder &folder, const std::string &script)
{
    return expect([&] {
        return ChildProcess::create("/bin/sh", { "-c", script }, folder, "shell");
    });
}

} // namespace

TEST_CASE("ChildProcess reports output and how the process ended")
{
    const auto folder = scratchFolder();
    const auto child = shell(*folder, "echo one; echo two >&2; exit 3");
    CHECK(child->wait(after(std::chrono::seconds(5))) == ExitStatus { 3, 0 });
    CHECK(child->output() == "one\n");
    CHECK(child->errorOutput() == "two\n");
}

TEST_CASE("ChildProcess outlives the thread that started it")
{
    // Guards against children that the kernel kills because the thread that forked them has ended.
    const auto folder = scratchFolder();
    std::unique_ptr<ChildProcess> child;
    std::thread([&] {
        child = shell(*folder, "exec sleep 60");
    }).join();
    CHECK_FALSE(child->wait(after(Milliseconds(50))).has_value());
    child->stop();
    child->resume();
    child->terminate();
    CHECK(child->wait(after(std::chrono::seconds(5))) == ExitStatus { 0, SIGTERM });
}

TEST_CASE("ChildProcess kills its process when it is destroyed")
{
    // Guards against processes that a failed test leaves behind.
    const auto folder = scratchFolder();
    auto child = shell(*folder, "exec sleep 60");
    const pid_t id = child->id();
    child.reset();
    CHECK(::kill(id, 0) != 0);
}

TEST_CASE("ChildProcess ends its process when the process that started it is killed")
{
    // Guards against processes that an aborted test run leaves behind.
    const auto folder = scratchFolder();
    const auto holder = expect([&] {
        return ChildProcess::create("child-holder", {}, *folder, "holder");
    });
    REQUIRE(waitFor(
        [&] {
            return holder->output().ends_with('\n');
        },
        after(std::chrono::seconds(5))));
    const pid_t grandchild = std::stoi(holder->output());
    CHECK(::kill(grandchild, 0) == 0);
    holder->kill();
    // A zombie process keeps its id, but its command line is empty.
    CHECK(waitFor(
        [&] {
            return readFile("/proc/" + std::to_string(grandchild) + "/cmdline").empty();
        },
        after(std::chrono::seconds(5))));
}

TEST_CASE("ChildProcess reports a program that cannot be run")
{
    const auto folder = scratchFolder();
    const auto outcome = capture([&] {
        return ChildProcess::create("no-such-program", {}, *folder, "none");
    });
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().message.find("No such file") != std::string::npos);
}
