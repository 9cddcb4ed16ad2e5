#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <LibCore/EventLog.h>

#include <gflags/gflags.h>

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Sapphire::configureEventLog({ "", Sapphire::Severity::Error });
    return doctest::Context().run();
}
