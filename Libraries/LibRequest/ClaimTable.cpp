#include <LibRequest/ClaimTable.h>

namespace Sapphire {

namespace {

const TableName requestsTable("requests");

bool isSameClaim(const RequestRecord &left, const RequestRecord &right)
{
    return left.holder == right.holder && left.nonce == right.nonce;
}

} // namespace

ClaimTable::ClaimTable(TableService &table) : m_table(table)
{
}

Result<std::optional<ClaimTable::StoredRecord>> ClaimTable::readStored(const RequestKey &key, Deadline deadline)
{
    const Outcome<Row> row = capture([&] {
        return m_table.read(requestsTable, key.rowKey(), deadline);
    });
    if (!row) {
        if (row.error().code == ErrorCode::NotFound) {
            return std::nullopt;
        }
        return fail(row.error());
    }
    BOOST_LEAF_AUTO(record, RequestRecord::fromJson(row.value().value));
    return StoredRecord { std::move(record), row.value().tag };
}

Result<std::optional<RequestRecord>> ClaimTable::read(const RequestKey &key, Deadline deadline)
{
    BOOST_LEAF_AUTO(stored, readStored(key, deadline));
    if (!stored) {
        return std::nullopt;
    }
    return std::move(stored->record);
}

Result<ClaimTable::Claim> ClaimTable::claim(const RequestKey &key, const VmIncarnation &process,
                                            const std::string &nonce, Deadline deadline)
{
    RequestRecord wanted { RequestState::Running, process, 1, nonce, {} };
    const Outcome<RowTag> inserted = capture([&] {
        return m_table.insert(requestsTable, key.rowKey(), wanted.toJson(), deadline);
    });
    if (inserted) {
        return Claim { true, wanted, inserted.value() };
    }
    if (inserted.error().code != ErrorCode::Conflict) {
        if (inserted.error().verdict == Verdict::NotRun) {
            return fail(inserted.error());
        }
        return confirm(key, wanted, deadline);
    }

    BOOST_LEAF_AUTO(stored, readStored(key, deadline));
    if (!stored) {
        return fail(ErrorCode::DataLoss, "the claim row of a request id disappeared while it was being claimed");
    }
    if (stored->record.state != RequestState::NotRun) {
        return Claim { isSameClaim(stored->record, wanted), std::move(stored->record) };
    }
    wanted.attempt = stored->record.attempt + 1;
    const Outcome<RowTag> replaced = capture([&] {
        return m_table.replace(requestsTable, key.rowKey(), wanted.toJson(), stored->tag, deadline);
    });
    if (replaced) {
        return Claim { true, wanted, replaced.value() };
    }
    if (replaced.error().code != ErrorCode::Conflict && replaced.error().verdict == Verdict::NotRun) {
        return fail(replaced.error());
    }
    return confirm(key, wanted, deadline);
}

Result<ClaimTable::Claim> ClaimTable::confirm(const RequestKey &key, const RequestRecord &wanted, Deadline deadline)
{
    Outcome<std::optional<StoredRecord>> stored = capture([&] {
        return readStored(key, deadline);
    });
    if (!stored) {
        return fail(stored.error().code, stored.error().message, Verdict::MayHaveRun);
    }
    if (!stored.value()) {
        // The write may still take effect, so the id must not be reported as unclaimed.
        return fail(ErrorCode::Unavailable, "no answer to the claim arrived and its row was not found",
                    Verdict::MayHaveRun);
    }
    const bool isMine = isSameClaim(stored.value()->record, wanted);
    return Claim { isMine, std::move(stored.value()->record), stored.value()->tag };
}

Result<RowTag> ClaimTable::update(const RequestKey &key, const RequestRecord &record, const std::optional<RowTag> &tag,
                                  Deadline deadline)
{
    const Outcome<RowTag> written = capture([&] {
        if (tag) {
            return m_table.replace(requestsTable, key.rowKey(), record.toJson(), *tag, deadline);
        }
        return m_table.insert(requestsTable, key.rowKey(), record.toJson(), deadline);
    });
    if (written) {
        return written.value();
    }
    if (written.error().code != ErrorCode::Conflict) {
        return fail(written.error());
    }
    BOOST_LEAF_AUTO(stored, readStored(key, deadline));
    if (!stored || !isSameClaim(stored->record, record)) {
        return fail(ErrorCode::Conflict, "the request id was claimed by another process");
    }
    return m_table.replace(requestsTable, key.rowKey(), record.toJson(), stored->tag, deadline);
}

} // namespace Sapphire
