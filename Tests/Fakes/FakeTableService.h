#pragma once

#include <LibPlatform/TableService.h>

#include <map>
#include <mutex>

namespace Sapphire {

/// An in-memory table service with faults that a test switches on. Thread-safe.
class FakeTableService final : public TableService
{
public:
    /// While the service is down, every call fails and has no effect.
    void setDown(bool isDown)
    {
        const std::lock_guard guard(m_mutex);
        m_isDown = isDown;
    }
    /// The next writes take effect, but their answers are lost.
    void loseAnswers(int count)
    {
        const std::lock_guard guard(m_mutex);
        m_answersToLose = count;
    }
    int writeCount() const
    {
        const std::lock_guard guard(m_mutex);
        return m_writes;
    }

    Result<Row> read(const TableName &table, const std::string &key, Deadline) override
    {
        const std::lock_guard guard(m_mutex);
        BOOST_LEAF_CHECK(checkUp());
        const auto found = m_tables[table].find(key);
        if (found == m_tables[table].end()) {
            return fail(ErrorCode::NotFound, "no row " + key);
        }
        return found->second;
    }

    Result<std::vector<Row>> list(const TableName &table, const std::string &after, std::size_t limit,
                                  Deadline) override
    {
        const std::lock_guard guard(m_mutex);
        BOOST_LEAF_CHECK(checkUp());
        std::vector<Row> rows;
        const std::map<std::string, Row> &content = m_tables[table];
        for (auto row = content.upper_bound(after); row != content.end() && rows.size() < limit; ++row) {
            rows.push_back(row->second);
        }
        return rows;
    }

    Result<RowTag> insert(const TableName &table, const std::string &key, const std::string &value, Deadline) override
    {
        const std::lock_guard guard(m_mutex);
        BOOST_LEAF_CHECK(checkUp());
        if (m_tables[table].contains(key)) {
            return fail(ErrorCode::Conflict, "row " + key + " exists");
        }
        return store(table, key, value);
    }

    Result<RowTag> replace(const TableName &table, const std::string &key, const std::string &value, const RowTag &tag,
                           Deadline) override
    {
        const std::lock_guard guard(m_mutex);
        BOOST_LEAF_CHECK(checkUp());
        BOOST_LEAF_CHECK(checkTag(table, key, tag));
        return store(table, key, value);
    }

    Result<void> remove(const TableName &table, const std::string &key, const RowTag &tag, Deadline) override
    {
        const std::lock_guard guard(m_mutex);
        BOOST_LEAF_CHECK(checkUp());
        BOOST_LEAF_CHECK(checkTag(table, key, tag));
        m_tables[table].erase(key);
        ++m_writes;
        return loseAnswerIfAsked();
    }

private:
    Result<void> checkUp() const
    {
        if (m_isDown) {
            return fail(ErrorCode::Unavailable, "the table service is down");
        }
        return {};
    }

    Result<void> checkTag(const TableName &table, const std::string &key, const RowTag &tag)
    {
        const auto found = m_tables[table].find(key);
        if (found == m_tables[table].end() || found->second.tag != tag) {
            return fail(ErrorCode::Conflict, "row " + key + " was changed");
        }
        return {};
    }

    Result<RowTag> store(const TableName &table, const std::string &key, const std::string &value)
    {
        RowTag tag("\"" + std::to_string(++m_writes) + "\"");
        m_tables[table][key] = Row { key, value, tag };
        BOOST_LEAF_CHECK(loseAnswerIfAsked());
        return tag;
    }

    Result<void> loseAnswerIfAsked()
    {
        if (m_answersToLose > 0) {
            --m_answersToLose;
            return fail(ErrorCode::Timeout, "the answer was lost", Verdict::MayHaveRun);
        }
        return {};
    }

    mutable std::mutex m_mutex;
    std::map<TableName, std::map<std::string, Row>> m_tables;
    bool m_isDown { false };
    int m_answersToLose { 0 };
    int m_writes { 0 };
};

} // namespace Sapphire
