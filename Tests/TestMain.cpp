#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <LibCore/EventLog.h>

int main(int argc, char **argv)
{
    // Tests cause many warnings on purpose; these would hide the report of a failed check.
    Sapphire::configureEventLog({ "", Sapphire::Severity::Error });
    doctest::Context context(argc, argv);
    return context.run();
}
