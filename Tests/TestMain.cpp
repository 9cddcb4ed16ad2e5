#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <LibCore/EventLog.h>

int main(int argc, char **argv)
{
    // Tests provoke many warnings; they would bury the report of a failing check.
    Sapphire::configureEventLog({ "", Sapphire::Severity::Error });
    doctest::Context context(argc, argv);
    return context.run();
}
