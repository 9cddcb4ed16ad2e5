#include <StandIns/Target/StandInServer.h>

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "JSON file with controlAddress, secrets and targets");

namespace {

Sapphire::StandInServer *runningServer = nullptr;

void stopServer(int)
{
    runningServer->stop();
}

Sapphire::Result<std::unique_ptr<Sapphire::StandInServer>> load(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return Sapphire::fail(Sapphire::ErrorCode::NotFound, "settings: " + file + " can't be read");
    }
    std::stringstream text;
    text << stream.rdbuf();
    BOOST_LEAF_AUTO(settings, Sapphire::StandInSettings::parse(text.str()));
    return Sapphire::StandInServer::create(settings);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Simulates the targets of a deployment for tests. target-stand-in --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto server = Sapphire::capture([] {
        return load(FLAGS_settings);
    });
    if (!server) {
        std::cerr << "target-stand-in: " << server.error().message << '\n';
        return 1;
    }
    runningServer = server.value().get();
    std::signal(SIGTERM, stopServer);
    std::signal(SIGINT, stopServer);
    std::cout << "control " << runningServer->controlAddress() << std::endl;
    runningServer->run();
    return 0;
}
