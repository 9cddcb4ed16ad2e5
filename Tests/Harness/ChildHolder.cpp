// Starts a child, prints its id and waits, so that a test can kill this process and check whether the child ends too.

#include <Harness/ChildProcess.h>

#include <iostream>

#include <unistd.h>

int main()
{
    using namespace Sapphire;
    const auto folder = capture([] {
        return ScratchFolder::create("sapphire-holder");
    });
    const auto child = capture([&] {
        return ChildProcess::create("/bin/sleep", { "60" }, *folder.value(), "sleep");
    });
    if (!child) {
        std::cerr << child.error().message << '\n';
        return 1;
    }
    // Removed now, since a killed process runs no destructors.
    std::filesystem::remove_all(folder.value()->path());
    std::cout << child.value()->id() << std::endl;
    ::pause();
    return 0;
}
