#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace Sapphire {

/// The objects that a target has handled lately, as far as this VM has seen. A target works faster on them. Objects are
/// known by a hash: a target that has handled one for a route is not faster on it for another route.
class RecentObjects
{
public:
    explicit RecentObjects(std::size_t capacity = 128) : m_capacity(capacity)
    {
    }

    /// The target has handled the object.
    void note(std::uint64_t object, TimePoint now);
    /// Returns when the target handled the object last; the beginning of time if it is not known to have.
    TimePoint lastHandled(std::uint64_t object) const;
    /// The target has started anew or lost its caches.
    void clear();

private:
    struct Entry
    {
        std::uint64_t object;
        TimePoint at;
    };

    std::size_t m_capacity;
    std::list<Entry> m_entries; ///< The one handled last is first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byObject;
};

} // namespace Sapphire
