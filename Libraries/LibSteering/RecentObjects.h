#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace Sapphire {

/// The objects that a target has handled recently for requests of this VM, so that they are probably in its cache. An
/// object is identified by a hash of its key and route, since a target that has handled it for one route is not faster
/// on it for another one.
class RecentObjects
{
public:
    explicit RecentObjects(std::size_t capacity = 128) : m_capacity(capacity)
    {
    }

    /// The target has handled the object.
    void note(std::uint64_t object, TimePoint now);
    /// Returns when the target last handled the object; a default TimePoint if that is not known.
    TimePoint lastHandled(std::uint64_t object) const;
    /// The target has restarted or lost its caches.
    void clear();

private:
    struct Entry
    {
        std::uint64_t object;
        TimePoint at;
    };

    std::size_t m_capacity;
    std::list<Entry> m_entries; ///< Most recently handled first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byObject;
};

} // namespace Sapphire
