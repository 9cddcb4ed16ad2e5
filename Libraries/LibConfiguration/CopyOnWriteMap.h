#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

namespace Sapphire {

/// An ordered map whose copies share chunks of elements. A change copies only the chunk concerned and the list of
/// chunks: at 160,000 elements, a copy with one change takes microseconds, but a copy of a std::map takes tens of
/// milliseconds. Copies are independent and may be read by different threads.
template<typename Key, typename Value>
class CopyOnWriteMap
{
public:
    using value_type = std::pair<Key, Value>;

    class Iterator
    {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = std::pair<Key, Value>;
        using difference_type = std::ptrdiff_t;
        using pointer = const value_type *;
        using reference = const value_type &;

        Iterator() = default;

        reference operator*() const
        {
            return (*m_map->m_chunks[m_chunk])[m_index];
        }
        pointer operator->() const
        {
            return &**this;
        }
        Iterator &operator++()
        {
            ++m_index;
            if (m_index == m_map->m_chunks[m_chunk]->size()) {
                ++m_chunk;
                m_index = 0;
            }
            return *this;
        }
        Iterator operator++(int)
        {
            Iterator before = *this;
            ++*this;
            return before;
        }
        friend bool operator==(const Iterator &left, const Iterator &right)
        {
            return left.m_chunk == right.m_chunk && left.m_index == right.m_index;
        }

    private:
        friend class CopyOnWriteMap;
        Iterator(const CopyOnWriteMap *map, std::size_t chunk, std::size_t index)
            : m_map(map), m_chunk(chunk), m_index(index)
        {
        }

        const CopyOnWriteMap *m_map { nullptr };
        std::size_t m_chunk { 0 };
        std::size_t m_index { 0 };
    };

    using iterator = Iterator;
    using const_iterator = Iterator;

    CopyOnWriteMap() = default;
    /// Accepts elements in any order. If several have the same key, the first is kept.
    explicit CopyOnWriteMap(std::vector<value_type> elements)
    {
        std::stable_sort(elements.begin(), elements.end(), [](const value_type &left, const value_type &right) {
            return left.first < right.first;
        });
        const auto last =
            std::unique(elements.begin(), elements.end(), [](const value_type &left, const value_type &right) {
                return left.first == right.first;
            });
        elements.erase(last, elements.end());
        m_size = elements.size();
        for (std::size_t first = 0; first < elements.size(); first += filledChunkSize) {
            const std::size_t end = std::min(first + filledChunkSize, elements.size());
            m_chunks.push_back(std::make_shared<const Chunk>(
                std::make_move_iterator(elements.begin() + static_cast<std::ptrdiff_t>(first)),
                std::make_move_iterator(elements.begin() + static_cast<std::ptrdiff_t>(end))));
        }
    }

    Iterator begin() const
    {
        return { this, 0, 0 };
    }
    Iterator end() const
    {
        return { this, m_chunks.size(), 0 };
    }
    std::size_t size() const
    {
        return m_size;
    }
    bool empty() const
    {
        return m_size == 0;
    }

    Iterator find(const Key &key) const
    {
        if (empty()) {
            return end();
        }
        const std::size_t chunk = chunkFor(key);
        const std::size_t index = indexIn(*m_chunks[chunk], key);
        if (index == m_chunks[chunk]->size() || (*m_chunks[chunk])[index].first != key) {
            return end();
        }
        return { this, chunk, index };
    }
    bool contains(const Key &key) const
    {
        return find(key) != end();
    }
    /// Throws std::out_of_range if there is no such key.
    const Value &at(const Key &key) const
    {
        const Iterator found = find(key);
        if (found == end()) {
            throw std::out_of_range("CopyOnWriteMap::at: no such key");
        }
        return found->second;
    }

    /// Returns the value of the key, inserting a default value if there is none. Don't use the reference after the map
    /// was copied: the copy shares the chunk.
    Value &operator[](const Key &key)
    {
        if (empty()) {
            m_chunks.assign(1, std::make_shared<const Chunk>());
        }
        const std::size_t position = chunkFor(key);
        auto chunk = std::make_shared<Chunk>(*m_chunks[position]);
        const std::size_t index = indexIn(*chunk, key);
        if (index == chunk->size() || (*chunk)[index].first != key) {
            chunk->insert(chunk->begin() + static_cast<std::ptrdiff_t>(index), value_type(key, Value {}));
            ++m_size;
        }
        if (chunk->size() <= largestChunkSize) {
            m_chunks[position] = chunk;
            return (*chunk)[index].second;
        }
        return split(position, *chunk, index);
    }
    /// Inserts the element and returns true if the map doesn't have the key.
    bool emplace(const Key &key, Value value)
    {
        if (contains(key)) {
            return false;
        }
        (*this)[key] = std::move(value);
        return true;
    }
    /// Removes the element with the key. Returns the number of removed elements, 0 or 1.
    std::size_t erase(const Key &key)
    {
        const Iterator found = find(key);
        if (found == end()) {
            return 0;
        }
        auto chunk = std::make_shared<Chunk>(*m_chunks[found.m_chunk]);
        chunk->erase(chunk->begin() + static_cast<std::ptrdiff_t>(found.m_index));
        --m_size;
        if (chunk->empty()) {
            m_chunks.erase(m_chunks.begin() + static_cast<std::ptrdiff_t>(found.m_chunk));
        } else {
            m_chunks[found.m_chunk] = std::move(chunk);
        }
        return 1;
    }

private:
    using Chunk = std::vector<value_type>;

    static constexpr std::size_t largestChunkSize = 128;
    /// The constructor doesn't fill chunks completely, so that the next insertions don't split them.
    static constexpr std::size_t filledChunkSize = 96;

    std::size_t chunkFor(const Key &key) const
    {
        const auto after = std::upper_bound(m_chunks.begin(), m_chunks.end(), key,
                                            [](const Key &wanted, const std::shared_ptr<const Chunk> &chunk) {
                                                return !chunk->empty() && wanted < chunk->front().first;
                                            });
        return after == m_chunks.begin() ? 0 : static_cast<std::size_t>(after - m_chunks.begin()) - 1;
    }
    static std::size_t indexIn(const Chunk &chunk, const Key &key)
    {
        const auto found =
            std::lower_bound(chunk.begin(), chunk.end(), key, [](const value_type &element, const Key &wanted) {
                return element.first < wanted;
            });
        return static_cast<std::size_t>(found - chunk.begin());
    }
    /// Splits the chunk at the position in two and returns the value that was at the index.
    Value &split(std::size_t position, Chunk &chunk, std::size_t index)
    {
        const auto middle = chunk.begin() + static_cast<std::ptrdiff_t>(chunk.size() / 2);
        auto lower = std::make_shared<Chunk>(std::make_move_iterator(chunk.begin()), std::make_move_iterator(middle));
        auto upper = std::make_shared<Chunk>(std::make_move_iterator(middle), std::make_move_iterator(chunk.end()));
        m_chunks[position] = lower;
        m_chunks.insert(m_chunks.begin() + static_cast<std::ptrdiff_t>(position) + 1, upper);
        return index < lower->size() ? (*lower)[index].second : (*upper)[index - lower->size()].second;
    }

    std::vector<std::shared_ptr<const Chunk>> m_chunks;
    std::size_t m_size { 0 };
};

} // namespace Sapphire
