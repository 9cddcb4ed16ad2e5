#include <LibPlatform/HttpObjectStore.h>

#include "PlatformFixture.h"

using namespace Sapphire;

TEST_CASE_FIXTURE(PlatformFixture, "HttpObjectStore returns what was written")
{
    // Guards against large snapshots that are truncated at the end of a buffer.
    const auto store = expect([&] {
        return HttpObjectStore::create(settings());
    });
    const std::string content(3'000'001, '\xfe');
    CHECK(capture([&] {
        return store->write("snapshots/256", content, deadlineIn(Milliseconds(5000)));
    }));
    CHECK(expect([&] {
              return store->read("snapshots/256", deadlineIn(Milliseconds(5000)));
          })
          == content);
    const auto missing = capture([&] {
        return store->read("snapshots/512", deadlineIn(Milliseconds(5000)));
    });
    CHECK(missing.error().code == ErrorCode::NotFound);
}
